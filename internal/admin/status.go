package admin

// State is the operational state of a host or backend server.
type State string

// Values of State.
const (
	StateUp      State = "up"
	StateLeaving State = "leaving"
	StateDown    State = "down"
	// StateUnknown means that the responding gateway has no recent report about the host or backend server.
	StateUnknown State = "unknown"
)

// Status is the state of a deployment as known to one gateway.
type Status struct {
	Team string `json:"team"`
	// Host is the host of the responding gateway.
	Host string `json:"host"`
	// Revision is the configuration revision in force on the responding gateway.
	Revision uint64          `json:"revision"`
	Hosts    []HostStatus    `json:"hosts"`
	Cells    []CellStatus    `json:"cells"`
	Services []ServiceStatus `json:"services"`
}

// HostStatus is the state of one entry host.
type HostStatus struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Cell  string `json:"cell"`
	State State  `json:"state"`
	// Revision is the configuration revision in force on the host, or 0 if it is not known.
	Revision uint64 `json:"revision"`
}

// CellStatus describes which hosts have authority over a cell.
type CellStatus struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	Term       uint64 `json:"term"`
	// Holder decides ownership in the cell, Successor takes over from it, and Arbiter decides between their claims. They
	// are host names, or "" if there is none or it is not known.
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

// ServerStatus is the state of one backend server.
type ServerStatus struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State State  `json:"state"`
	// Home is the host that forwards requests to the server, or "" if there is none.
	Home string `json:"home"`
	// Running is the number of requests in execution; Slots is its maximum.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Queued is the number of requests waiting for a slot.
	Queued int `json:"queued"`
	// Partitions is the number of partitions that the server owns.
	Partitions int `json:"partitions"`
}
