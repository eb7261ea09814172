package gateway

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/balance"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// RoutingTable holds the configuration and the ownership of the cell in the form that the request path uses. Except for
// its caches of home gateways it is immutable; the control goroutine publishes a new one after each change.
type RoutingTable struct {
	Self        string
	Cell        string
	Config      *config.Config
	Snapshot    *cell.Snapshot
	services    map[string]*serviceRoute
	hosts       map[string]config.Host
	hostsByCell map[string][]string
}

// serviceRoute is the routing information of one service.
type serviceRoute struct {
	*config.Service
	placement *config.Placement
	// localServers lists the servers in this gateway's cell.
	localServers []string
	// serverCells maps each server to its cell.
	serverCells map[string]string
	homes       *homeCache
}

// NewRoutingTable builds the routing table of a configuration. It is called once per revision; use WithSnapshot for
// changes of ownership.
func NewRoutingTable(self string, c *config.Config, snapshot *cell.Snapshot) *RoutingTable {
	table := &RoutingTable{
		Self:        self,
		Config:      c,
		Snapshot:    snapshot,
		services:    make(map[string]*serviceRoute, len(c.Services)),
		hosts:       make(map[string]config.Host, len(c.Hosts)),
		hostsByCell: make(map[string][]string),
	}
	for _, host := range c.Hosts {
		table.hosts[host.Name] = host
		table.hostsByCell[host.Cell] = append(table.hostsByCell[host.Cell], host.Name)
	}
	table.Cell = table.hosts[self].Cell
	for i := range c.Services {
		table.services[c.Services[i].Name] = newServiceRoute(c, &c.Services[i], table.Cell)
	}
	return table
}

// WithSnapshot returns a copy of the routing table with a new ownership snapshot.
func (t *RoutingTable) WithSnapshot(snapshot *cell.Snapshot) *RoutingTable {
	next := *t
	next.Snapshot = snapshot
	return &next
}

// inPlannedStop reports whether a planned stop of this gateway's host is in progress at now.
func (t *RoutingTable) inPlannedStop(now time.Time) bool {
	for _, stop := range t.Config.Stops {
		end := stop.At.Add(time.Duration(stop.ForSeconds) * time.Second)
		if stop.Target == t.Self && !now.Before(stop.At) && now.Before(end) {
			return true
		}
	}
	return false
}

// PartitionOf returns the partition of a key and the cell that owns it, or false if the service is not configured or
// not sharded.
func (t *RoutingTable) PartitionOf(service, key string) (keyspace.Partition, string, bool) {
	route, ok := t.services[service]
	if !ok || !route.Keyed {
		return 0, "", false
	}
	partition, owningCell := route.partition(key)
	return partition, owningCell, true
}

func (t *RoutingTable) zone() string { return t.hosts[t.Self].Zone }

func newServiceRoute(c *config.Config, s *config.Service, ownCell string) *serviceRoute {
	route := &serviceRoute{Service: s, serverCells: make(map[string]string, len(s.Servers))}
	for _, server := range s.Servers {
		route.serverCells[server.Name] = server.Cell
		if server.Cell == ownCell {
			route.localServers = append(route.localServers, server.Name)
		}
	}
	if s.Keyed {
		route.placement = c.Place(s)
		route.homes = newHomeCache(s.Partitions)
	}
	return route
}

// serverForIdentity returns the server to which an idempotency key of a subscriber maps.
func (r *serviceRoute) serverForIdentity(subscriber, identity string) string {
	names := make([]string, 0, len(r.Servers))
	for _, server := range r.Servers {
		names = append(names, server.Name)
	}
	return balance.PickByIdentity(subscriber, identity, names)
}

// partition returns the partition of a key and the cell that owns it.
func (r *serviceRoute) partition(key string) (keyspace.Partition, string) {
	p := keyspace.PartitionOf(key, r.Partitions)
	return p, r.placement.Cell(p)
}
