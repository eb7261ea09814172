// Package config defines the configuration of a deployment: its validation, encoding, comparison and the placement of
// partitions on cells.
package config

import "time"

// Config is one revision of a team's configuration. It is immutable once accepted.
type Config struct {
	// Revision is greater than that of every configuration accepted before.
	Revision uint64 `json:"revision"`
	// ID identifies the accept request that created the revision, so that a client whose response was lost can find out
	// whether its request was accepted.
	ID string `json:"id"`
	// Team is the organization that owns the deployment.
	Team string `json:"team"`
	// Preference is the objective to which the assignment of keys gives more weight.
	Preference Preference `json:"preference"`
	Zones      []Zone     `json:"zones"`
	Hosts      []Host     `json:"hosts"`
	Services   []Service  `json:"services"`
	// Stops lists the planned stops that are announced for hosts and backend servers.
	Stops []Stop `json:"stops,omitempty"`
	// Placements holds the placements that were stored when a revision changed cells or weights.
	Placements []StoredPlacement `json:"placements,omitempty"`
	// History lists the most recently accepted revisions, oldest first.
	History []Accepted `json:"history,omitempty"`
}

// Preference is the objective to which the assignment of keys gives more weight.
type Preference string

const (
	// PreferAvailability gives more weight to the time for which moved keys are unavailable.
	PreferAvailability Preference = "unavailable-time"
	// PreferBalance gives more weight to load imbalance between backend servers.
	PreferBalance Preference = "imbalance"
)

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Lost is set by an operator who has made sure that no gateway or backend server of the zone is running. Other
	// zones may then take over its partitions.
	Lost bool `json:"lost,omitempty"`
}

// Host is an entry (ingress) host, which runs one gateway.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Cell is the group of at most MaxCellHosts hosts that share one holder, the primary that decides ownership.
	Cell string `json:"cell"`
	// Rack is the failure domain of the host within its zone. Default: none.
	Rack string `json:"rack,omitempty"`
	// PeerAddress is the IP address and port on which other gateways connect.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the IP address and port that serves client requests.
	CallerAddress string `json:"caller_address"`
	// AdminAddress is the IP address and port of the operators' API.
	AdminAddress string `json:"admin_address"`
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// Keyed is true for a sharded service, in which each key belongs to one backend server.
	Keyed bool `json:"keyed"`
	// Partitions is the number of hash ranges, a power of two. Set for sharded services only.
	Partitions int `json:"partitions,omitempty"`
	// Fenced is true if the backend servers reject requests with an outdated fencing token.
	Fenced bool `json:"fenced"`
	// Slots is the concurrency limit of one backend server, in requests.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of connections to one backend server.
	MaxConnections int `json:"max_connections"`
	// MaxRequestMillis is the maximum run time of a request, in milliseconds.
	MaxRequestMillis int `json:"max_request_millis"`
	// Idempotent matches the requests that may be executed more than once. All others are executed at most once.
	Idempotent []Rule   `json:"idempotent"`
	Servers    []Server `json:"servers"`
}

// Rule matches requests by method and path.
type Rule struct {
	// Method is an HTTP method, or "*" for every method.
	Method string `json:"method"`
	// Path is a pattern in the syntax of path.Match. A trailing "/**" matches the path before it and all paths below.
	Path string `json:"path"`
}

// Server is a backend server.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Cell string `json:"cell"`
	// Address is the IP address and port that serves requests.
	Address string `json:"address"`
	// Weight is the capacity relative to other servers. Default: 1.
	Weight float64 `json:"weight,omitempty"`
}

// Stop is an announced planned stop (graceful shutdown) of a host or backend server.
type Stop struct {
	// Target is the name of a host or a backend server.
	Target string    `json:"target"`
	At     time.Time `json:"at"`
	// ForSeconds is the announced duration of the stop, in seconds.
	ForSeconds int64 `json:"for_seconds"`
}

// MaxCellHosts is the maximum number of hosts in a cell. Every host exchanges heartbeats with the cell's holder, whose
// control traffic must stay below 9 KB a second.
const MaxCellHosts = 12

func (c *Config) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

func (c *Config) Host(name string) (*Host, bool) {
	for i := range c.Hosts {
		if c.Hosts[i].Name == name {
			return &c.Hosts[i], true
		}
	}
	return nil, false
}

// CellHosts returns the hosts of a cell in the order of the configuration.
func (c *Config) CellHosts(cell string) []Host {
	var hosts []Host
	for _, host := range c.Hosts {
		if host.Cell == cell {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Cells returns the names of all cells in the order of their first host.
func (c *Config) Cells() []string {
	var cells []string
	seen := make(map[string]bool)
	for _, host := range c.Hosts {
		if !seen[host.Cell] {
			seen[host.Cell] = true
			cells = append(cells, host.Cell)
		}
	}
	return cells
}

// HasTarget reports whether name is that of a host or backend server, the two kinds of target of a planned stop.
func (c *Config) HasTarget(name string) bool {
	if _, ok := c.Host(name); ok {
		return true
	}
	for _, service := range c.Services {
		for _, server := range service.Servers {
			if server.Name == name {
				return true
			}
		}
	}
	return false
}

// End returns the announced end of the stop.
func (s Stop) End() time.Time { return s.At.Add(time.Duration(s.ForSeconds) * time.Second) }
