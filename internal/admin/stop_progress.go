package admin

import "time"

// StopState says how far a planned stop has come.
type StopState string

// States of a planned stop.
const (
	StopAnnounced StopState = "announced"
	StopDraining  StopState = "draining"
	// StopEmpty means that the target has no work left and can be stopped.
	StopEmpty StopState = "empty"
	StopOver  StopState = "over"
)

// StopProgress is a planned stop and how far it has come.
type StopProgress struct {
	Target     string    `json:"target"`
	At         time.Time `json:"at"`
	ForSeconds int64     `json:"for_seconds"`
	State      StopState `json:"state"`
	// Homes is the number of backend servers whose home the target still is.
	Homes int `json:"homes"`
	// Running is the number of requests that the target still executes or forwards.
	Running int `json:"running"`
	// Detail says what the stop waits for.
	Detail string `json:"detail,omitempty"`
}

// IsSafe reports whether the target can be stopped without cutting off a request.
func (p StopProgress) IsSafe() bool { return p.State == StopEmpty }

// StopList is the answer to a question for the planned stops.
type StopList struct {
	Revision uint64         `json:"revision"`
	Stops    []StopProgress `json:"stops"`
}
