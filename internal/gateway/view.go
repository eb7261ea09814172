package gateway

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/balance"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// View is all that traffic needs to route a request. It is immutable; the control goroutine publishes a new
// one after each change.
type View struct {
	Self     string
	Cell     string
	Config   *config.Config
	Snapshot *cell.Snapshot
	services map[string]*serviceRoute
	hosts    map[string]config.Host
	cells    map[string][]string
}

// serviceRoute is one service as the gateway routes it.
type serviceRoute struct {
	*config.Service
	placement *config.Placement
	// local holds the servers in the gateway's own cell.
	local []string
	// cells holds the cell of each server.
	cells map[string]string
	hints *hints
}

// NewView computes the routing of a configuration. It is called once per revision; use WithSnapshot for
// changes of ownership.
func NewView(self string, c *config.Config, snapshot *cell.Snapshot) *View {
	v := &View{
		Self:     self,
		Config:   c,
		Snapshot: snapshot,
		services: make(map[string]*serviceRoute, len(c.Services)),
		hosts:    make(map[string]config.Host, len(c.Hosts)),
		cells:    make(map[string][]string),
	}
	for _, host := range c.Hosts {
		v.hosts[host.Name] = host
		v.cells[host.Cell] = append(v.cells[host.Cell], host.Name)
	}
	v.Cell = v.hosts[self].Cell
	for i := range c.Services {
		v.services[c.Services[i].Name] = newServiceRoute(c, &c.Services[i], v.Cell)
	}
	return v
}

// WithSnapshot returns a copy of the view with another ownership.
func (v *View) WithSnapshot(snapshot *cell.Snapshot) *View {
	next := *v
	next.Snapshot = snapshot
	return &next
}

// stopping reports whether the planned stop of the gateway's own host lasts at now.
func (v *View) stopping(now time.Time) bool {
	for _, stop := range v.Config.Stops {
		end := stop.At.Add(time.Duration(stop.ForSeconds) * time.Second)
		if stop.Target == v.Self && !now.Before(stop.At) && now.Before(end) {
			return true
		}
	}
	return false
}

// PartitionOf returns the partition of a key and the cell that owns it, or false for a service that is not divided
// by key.
func (v *View) PartitionOf(service, key string) (keyspace.Partition, string, bool) {
	route, ok := v.services[service]
	if !ok || !route.Keyed {
		return 0, "", false
	}
	partition, owning := route.partition(key)
	return partition, owning, true
}

func (v *View) zone() string { return v.hosts[v.Self].Zone }

func newServiceRoute(c *config.Config, s *config.Service, own string) *serviceRoute {
	route := &serviceRoute{Service: s, cells: make(map[string]string, len(s.Servers))}
	for _, server := range s.Servers {
		route.cells[server.Name] = server.Cell
		if server.Cell == own {
			route.local = append(route.local, server.Name)
		}
	}
	if s.Keyed {
		route.placement = c.Place(s)
		route.hints = newHints(s.Partitions)
	}
	return route
}

// serverOf returns the server that a request identity maps to.
func (r *serviceRoute) serverOf(subscriber, identity string) string {
	names := make([]string, 0, len(r.Servers))
	for _, server := range r.Servers {
		names = append(names, server.Name)
	}
	return balance.PickByIdentity(subscriber, identity, names)
}

// partition returns the partition of key and the cell that owns it.
func (r *serviceRoute) partition(key string) (keyspace.Partition, string) {
	p := keyspace.PartitionOf(key, r.Partitions)
	return p, r.placement.Cell(p)
}
