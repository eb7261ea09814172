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

// serverOf returns the desired owner of u, or false if none was computed. An empty name means that the unit should have
// no owner in this cell.
func (d *desiredOwners) serverOf(u unit) (string, bool) {
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

func (n *Node) isServerConfigured(name string) bool {
	_, _, ok := n.configuredServer(name)
	return ok
}

// configuredServer returns a server and its service if the configuration has the server in this cell.
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

// plan starts the changes that bring the table closer to the configuration and the assignment policy.
func (n *Node) plan(now time.Duration) {
	h := n.holder
	if now < h.noMoveUntil || n.config.Revision < h.tableLog.table.revision {
		return
	}
	n.expireLapses(now)
	if now-h.syncedAt >= configSyncInterval || h.planDue {
		h.syncedAt = now
		n.syncConfig(now)
	}
	if !h.planDue && (h.replanAt == 0 || now < h.replanAt) {
		return
	}
	h.planDue, h.replanAt = false, 0
	h.plannedAt = now
	n.assignHomes(now)
	for i := range n.config.Services {
		if s := &n.config.Services[i]; s.Keyed && h.tableLog.table.services[s.Name] != nil {
			n.planUnits(now, s)
		}
	}
}

// syncConfig adds the servers and services of the configuration to the table, and retires those that were removed.
func (n *Node) syncConfig(now time.Duration) {
	h := n.holder
	h.tableLog.setRevision(n.config.Revision)
	for i := range n.config.Services {
		n.syncService(now, &n.config.Services[i])
	}
	for _, name := range h.tableLog.table.serverNames() {
		if !n.isServerConfigured(name) {
			n.retireServer(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.tableLog.table.services)) {
		s := h.tableLog.table.services[name]
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
		e, ok := h.tableLog.table.servers[server.Name]
		if !ok {
			e = &serverEntry{name: server.Name, service: s.Name, state: ServerUp}
		}
		state := e.state
		reported, known := h.draining[server.Name]
		stopping := n.stopping(server.Name, now)
		switch {
		case state == ServerUp && (stopping || reported):
			state = ServerDraining
		case state == ServerDraining && !stopping && known && !reported:
			// A new holder keeps the state until the home has reported whether the server still drains.
			state = ServerUp
		}
		if !ok || state != e.state {
			changed := *e
			changed.state = state
			h.tableLog.putServer(changed)
			h.planDue = true
		}
	}
	if _, ok := h.tableLog.table.services[s.Name]; local && s.Keyed && !ok {
		h.tableLog.putService(s.Name, s.Partitions)
		h.planDue = true
	}
}

// retireServer releases the units of a server that was removed from the configuration, then its home, and then removes
// the server.
func (n *Node) retireServer(name string) {
	h := n.holder
	e := h.tableLog.table.servers[name]
	ownsUnits := false
	var units []unit
	h.tableLog.table.forEachUnitOf(name, func(u unit, owner Owner) {
		ownsUnits = true
		units = append(units, u)
	})
	switch {
	case ownsUnits:
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
		h.tableLog.removeServer(name)
	}
}

// retireService releases the partitions of a service that was removed from the cell, or whose number of partitions
// changes, and then removes the service.
func (n *Node) retireService(name string, s *serviceTable) {
	ownsUnits := len(s.hotKeys) > 0
	d := &desiredOwners{owners: slices.Repeat([]int{Unowned}, len(s.owners))}
	n.holder.desired[name] = d
	for p := range s.owners {
		if s.owners[p].Server != "" {
			ownsUnits = true
			n.endOwnership(unit{service: name, partition: keyspace.Partition(p)})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.hotKeys)) {
		n.endOwnership(unit{service: name, key: key})
	}
	if !ownsUnits {
		n.holder.tableLog.removeService(name)
		delete(n.holder.desired, name)
		delete(n.holder.partitionLoad, name)
		n.holder.planDue = true
	}
}

// endOwnership releases a unit, or frees it at once if its server has no home. A unit without an owner is assigned or
// removed.
func (n *Node) endOwnership(u unit) {
	h := n.holder
	owner, ok := h.tableLog.table.owner(u)
	if !ok {
		return
	}
	if owner.Server == "" {
		n.assignFreeUnit(u)
		return
	}
	n.releaseUnit(u)
	if e, ok := h.tableLog.table.servers[owner.Server]; !ok || e.home.IsZero() || n.faults.skipRelease {
		n.freeUnit(u)
	}
}

// placement returns the placement of a service, or nil if it has no servers in this cell.
func (n *Node) placement(s *config.Service) *config.Placement {
	h := n.holder
	if h.placedConfig != n.config {
		h.placedConfig = n.config
		h.placements = make(map[string]*config.Placement)
	}
	if p, ok := h.placements[s.Name]; ok {
		return p
	}
	p := n.config.Place(s)
	if !slices.Contains(p.Cells, n.cell) {
		p = nil
	}
	h.placements[s.Name] = p
	return p
}
