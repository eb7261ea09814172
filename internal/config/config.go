// Package config is the model of an accepted configuration.
package config

import "time"

// Config is one accepted configuration of a team. It is immutable once accepted.
type Config struct {
	// Revision grows by at least one with each accept.
	Revision uint64 `json:"revision"`
	// ID identifies the accept, so that an accept whose answer was lost can be recognized.
	ID string `json:"id"`
	// Team is the owner of the configuration.
	Team string `json:"team"`
	// Preference says which measure weighs most.
	Preference Preference `json:"preference"`
	Zones      []Zone     `json:"zones"`
	Hosts      []Host     `json:"hosts"`
	Services   []Service  `json:"services"`
	// Stops are the announced planned stops of hosts and backend servers.
	Stops []PlannedStop `json:"stops,omitempty"`
	// Placements holds the placements that accepts stored.
	Placements []StoredPlacement `json:"placements,omitempty"`
	// History holds the latest accepts, oldest first.
	History []HistoryEntry `json:"history,omitempty"`
}

// Preference says which measure the assignment of keys favours.
type Preference string

// Preferences.
const (
	PreferAvailability Preference = "unavailable-time"
	PreferBalance      Preference = "imbalance"
)

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Lost is set by an operator who knows that nothing of the zone runs any more. Other zones may then
	// take over its partitions.
	Lost bool `json:"lost,omitempty"`
}

// Host is an entry host. It runs one gateway.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Cell is the group of at most MaxCellHosts hosts that shares one holder.
	Cell string `json:"cell"`
	// Rack names a common cause of failure within the zone. Default: none.
	Rack string `json:"rack,omitempty"`
	// PeerAddress is the IP address and port for other gateways.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `json:"caller_address"`
	// AdminAddress is the IP address and port for operators.
	AdminAddress string `json:"admin_address"`
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Keyed is true for a service that is divided by key.
	Keyed bool `json:"keyed"`
	// Partitions is the number of hash ranges, a power of two. Only for keyed services.
	Partitions int `json:"partitions,omitempty"`
	// Fenced is true if the backend servers check fencing tokens.
	Fenced bool `json:"fenced"`
	// Slots is the number of requests that one backend server executes at a time.
	Slots int `json:"slots"`
	// MaxConnections is the number of connections that one backend server accepts.
	MaxConnections int `json:"max_connections"`
	// MaxRequestMillis is the longest execution of a request, in milliseconds.
	MaxRequestMillis int `json:"max_request_millis"`
	// Idempotent lists the requests that may run more than once. All others run at most once.
	Idempotent []Rule   `json:"idempotent"`
	Servers    []Server `json:"servers"`
}

// Rule matches requests by method and path.
type Rule struct {
	// Method is an HTTP method, or "*" for every method.
	Method string `json:"method"`
	// Path is a pattern in the syntax of path.Match; a trailing "/**" matches everything below.
	Path string `json:"path"`
}

// Server is a backend server.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Cell string `json:"cell"`
	// Address is the IP address and port for requests.
	Address string `json:"address"`
	// Weight is the relative capacity. Default 1.
	Weight float64 `json:"weight,omitempty"`
}

// PlannedStop is an announced planned stop.
type PlannedStop struct {
	// Target is the name of a host or a backend server.
	Target string    `json:"target"`
	At     time.Time `json:"at"`
	// ForSeconds is the announced length of the stop, in seconds.
	ForSeconds int64 `json:"for_seconds"`
}

// MaxCellHosts bounds the hosts of a cell: each one exchanges heartbeats with the holder, whose control
// traffic must stay below 9 KB a second.
const MaxCellHosts = 12

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Host returns the host with the given name.
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

// HasTarget reports whether name is a host or a backend server, either of which can have a planned stop.
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

// End returns the time at which the announced stop is over.
func (s PlannedStop) End() time.Time { return s.At.Add(time.Duration(s.ForSeconds) * time.Second) }
