package backend

// State is what a backend server says about itself.
type State string

// States that a backend server reports.
const (
	StateReady    State = "ready"
	StateStarting State = "starting"
	StateDraining State = "draining"
	StateFailing  State = "failing"
)

// Health is the report of a backend server about itself. It can lag and be wrong.
type Health struct {
	State      State `json:"state"`
	Slots      int   `json:"slots"`
	InProgress int   `json:"in_progress"`
	Queued     int   `json:"queued"`
}
