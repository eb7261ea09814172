package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// desiredOwners is the last result of the assignment policy for one service.
type desiredOwners struct {
	servers []AssignServer
	owners  []int
	keys    map[string]string
}

// server returns the wanted owner of u, and false if none was computed. An empty name means that the unit should
// not be owned here.
func (d *desiredOwners) server(u unit) (string, bool) {
	if d == nil {
		return "", false
	}
	if u.key != "" {
		return d.keys[u.key], true
	}
	if int(u.partition) >= len(d.owners) {
		return "", false
	}
	if i := d.owners[u.partition]; i != Unowned {
		return d.servers[i].Name, true
	}
	return "", true
}

func (n *Node) serverConfigured(name string) bool {
	_, _, ok := n.configuredServer(name)
	return ok
}

// configuredServer returns the server if the configuration names it in this cell.
func (n *Node) configuredServer(name string) (*config.Service, config.Server, bool) {
	for i := range n.config.Services {
		s := &n.config.Services[i]
		for _, server := range s.Servers {
			if server.Name == name && server.Cell == n.cell {
				return s, server, true
			}
		}
	}
	return nil, config.Server{}, false
}

// plan brings the table towards the configuration and the assignment policy.
func (n *Node) plan(now time.Duration) {
	h := n.holder
	if now < h.noMoveUntil || n.config.Revision < h.ledger.table.revision {
		return
	}
	n.expireLapses(now)
	if now-h.syncedAt >= syncInterval || h.planDue {
		h.syncedAt = now
		n.syncConfig(now)
	}
	if !h.planDue && (h.replanAt == 0 || now < h.replanAt) {
		return
	}
	h.planDue, h.replanAt = false, 0
	h.plannedAt = now
	n.planHomes(now)
	for i := range n.config.Services {
		if s := &n.config.Services[i]; s.Keyed && h.ledger.table.services[s.Name] != nil {
			n.planUnits(now, s)
		}
	}
}

// syncConfig records the servers and services of the configuration, and retires those that left it.
func (n *Node) syncConfig(now time.Duration) {
	h := n.holder
	h.ledger.setRevision(n.config.Revision)
	for i := range n.config.Services {
		n.syncService(now, &n.config.Services[i])
	}
	for _, name := range h.ledger.table.serverNames() {
		if !n.serverConfigured(name) {
			n.retireServer(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.ledger.table.services)) {
		s := h.ledger.table.services[name]
		if c, ok := n.config.Service(name); ok && c.Keyed && n.placement(c) != nil && c.Partitions == len(s.owners) {
			continue
		}
		n.retireService(name, s)
	}
}

func (n *Node) syncService(now time.Duration, s *config.Service) {
	h := n.holder
	local := false
	for _, server := range s.Servers {
		if server.Cell != n.cell {
			continue
		}
		local = true
		e, ok := h.ledger.table.servers[server.Name]
		if !ok {
			e = &serverEntry{name: server.Name, service: s.Name, state: ServerUp}
		}
		state := e.state
		if stopping := n.stopping(server.Name, now); stopping && state == ServerUp {
			state = ServerDraining
		} else if !stopping && state == ServerDraining {
			state = ServerUp
		}
		if !ok || state != e.state {
			changed := *e
			changed.state = state
			h.ledger.putServer(changed)
			h.planDue = true
		}
	}
	if _, ok := h.ledger.table.services[s.Name]; local && s.Keyed && !ok {
		h.ledger.putService(s.Name, s.Partitions)
		h.planDue = true
	}
}

// retireServer releases what a server that left the configuration still has, and then removes it.
func (n *Node) retireServer(name string) {
	h := n.holder
	e := h.ledger.table.servers[name]
	owned := false
	var units []unit
	h.ledger.table.unitsOf(name, func(u unit, owner Owner) {
		owned = true
		units = append(units, u)
	})
	switch {
	case owned:
		for _, u := range units {
			n.releaseUnit(u)
		}
		if e.home.IsZero() {
			for _, u := range units {
				n.freeUnit(u)
			}
		}
	case !e.home.IsZero():
		n.releaseServer(name)
	default:
		h.ledger.removeServer(name)
	}
}

// retireService releases the partitions of a service that left the cell or changes its number of partitions, and
// then removes it.
func (n *Node) retireService(name string, s *serviceTable) {
	owned := len(s.hot) > 0
	d := &desiredOwners{owners: slices.Repeat([]int{Unowned}, len(s.owners))}
	n.holder.desired[name] = d
	for p := range s.owners {
		if s.owners[p].Server != "" {
			owned = true
			n.vacate(unit{service: name, partition: keyspace.Partition(p)})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.hot)) {
		n.vacate(unit{service: name, key: key})
	}
	if !owned {
		n.holder.ledger.removeService(name)
		delete(n.holder.desired, name)
		delete(n.holder.load, name)
		n.holder.planDue = true
	}
}

// vacate ends the ownership of a unit, at once if its server has no home.
func (n *Node) vacate(u unit) {
	h := n.holder
	owner, ok := h.ledger.table.owner(u)
	if !ok {
		return
	}
	if owner.Server == "" {
		n.settle(u)
		return
	}
	n.releaseUnit(u)
	if e, ok := h.ledger.table.servers[owner.Server]; !ok || e.home.IsZero() || n.faults.noRelease {
		n.freeUnit(u)
	}
}

// placement returns the placement of a service if it has servers in this cell.
func (n *Node) placement(s *config.Service) *config.Placement {
	h := n.holder
	if h.placedAt != n.config {
		h.placedAt = n.config
		h.placed = make(map[string]*config.Placement)
	}
	if p, ok := h.placed[s.Name]; ok {
		return p
	}
	p := n.config.Place(s)
	if !slices.Contains(p.Cells, n.cell) {
		p = nil
	}
	h.placed[s.Name] = p
	return p
}
