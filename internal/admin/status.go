package admin

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
