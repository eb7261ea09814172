package backend

// State is the state that a backend server reports.
type State string

// Possible states of a backend server.
const (
	StateReady    State = "ready"
	StateStarting State = "starting"
	StateDraining State = "draining"
	StateFailing  State = "failing"
)

// Health is the health report of a backend server. It can be outdated or wrong.
type Health struct {
	State      State `json:"state"`
	Slots      int   `json:"slots"`
	InProgress int   `json:"in_progress"`
	Queued     int   `json:"queued"`
}
