package admin

import "time"

// StopState is the phase of a planned stop.
type StopState string

// Values of StopState.
const (
	StopAnnounced StopState = "announced"
	StopDraining  StopState = "draining"
	// StopEmpty means that the target has no remaining work and can be stopped safely.
	StopEmpty StopState = "empty"
	StopOver  StopState = "over"
)

// StopProgress is a planned stop with its progress.
type StopProgress struct {
	Target     string    `json:"target"`
	At         time.Time `json:"at"`
	ForSeconds int64     `json:"for_seconds"`
	State      StopState `json:"state"`
	// Homes is the number of backend servers for which the target is still the home.
	Homes int `json:"homes"`
	// Running is the number of requests that the target is still executing or forwarding.
	Running int `json:"running"`
	// Detail describes what the stop is waiting for.
	Detail string `json:"detail,omitempty"`
}

// IsSafe reports whether the target can be stopped without interrupting a request.
func (p StopProgress) IsSafe() bool { return p.State == StopEmpty }

// StopList is the response to a request for the planned stops.
type StopList struct {
	Revision uint64         `json:"revision"`
	Stops    []StopProgress `json:"stops"`
}
