package admin

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// State says whether a host or backend server works.
type State string

// States of a host or backend server.
const (
	StateUp      State = "up"
	StateLeaving State = "leaving"
	StateDown    State = "down"
	// StateUnknown is a host or backend server of which the answering gateway has no recent report.
	StateUnknown State = "unknown"
)

// Status is the state of a deployment as one gateway sees it.
type Status struct {
	Team string `json:"team"`
	// Host is the gateway that answers.
	Host string `json:"host"`
	// Revision is the revision that this gateway has in force.
	Revision uint64          `json:"revision"`
	Hosts    []HostStatus    `json:"hosts"`
	Cells    []CellStatus    `json:"cells"`
	Services []ServiceStatus `json:"services"`
}

// HostStatus is the state of an entry host.
type HostStatus struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Cell  string `json:"cell"`
	State State  `json:"state"`
	// Revision is the revision that the host has in force, or 0 if it is not known.
	Revision uint64 `json:"revision"`
}

// CellStatus is the authority over a cell.
type CellStatus struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	Term       uint64 `json:"term"`
	// Holder, Successor and Arbiter are names of hosts, or "" if there is none or it is not known.
	Holder    string `json:"holder"`
	Successor string `json:"successor"`
	// Arbiter can also be "store".
	Arbiter string `json:"arbiter"`
}

// ServiceStatus is the state of the backend servers of a service.
type ServiceStatus struct {
	Name    string         `json:"name"`
	Keyed   bool           `json:"keyed"`
	Servers []ServerStatus `json:"servers"`
}

// ServerStatus is the state of a backend server.
type ServerStatus struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State State  `json:"state"`
	// Home is the host that talks to the server, or "".
	Home string `json:"home"`
	// Running is the number of requests in execution, Slots the most that can be.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// Partitions is the number of partitions that the server owns.
	Partitions int `json:"partitions"`
}

// Ownership is the owner of one key.
type Ownership struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Partition uint32 `json:"partition"`
	Cell      string `json:"cell"`
	// Server is the owning backend server, or "" while there is none.
	Server string `json:"server"`
	Home   string `json:"home"`
	// Token is the fencing token as GENERATION.TERM.SEQ, or "".
	Token string `json:"token"`
	// HotKey is true if the key is owned apart from its partition.
	HotKey bool `json:"hot_key"`
	// Moving is true while the owner changes.
	Moving bool `json:"moving"`
}

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

// Explanation says what happened to a request.
type Explanation struct {
	Request string `json:"request"`
	// Outcome is not-run, unknown or ran.
	Outcome string `json:"outcome"`
	// Summary is a short text.
	Summary string           `json:"summary"`
	Events  []timeline.Event `json:"events"`
}

// StopRequest is the body of an announcement.
type StopRequest struct {
	Target string    `json:"target"`
	At     time.Time `json:"at"`
	// ForSeconds is the announced length, in seconds.
	ForSeconds int64 `json:"for_seconds"`
}
