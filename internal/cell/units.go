package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// keyLoadReport is the last load report on one hot key.
type keyLoadReport struct {
	load       float64
	receivedAt time.Duration
}

// partitionOf returns the partition of a hot key.
func (n *Node) partitionOf(u unit) unit {
	count := len(n.holder.tableLog.table.services[u.service].owners)
	return unit{service: u.service, partition: keyspace.PartitionOf(u.key, count)}
}

// planUnits gets the desired owners of one service from the assignment policy and starts the moves to them.
func (n *Node) planUnits(now time.Duration, s *config.Service) {
	h := n.holder
	t := h.tableLog.table.services[s.Name]
	placement := n.placement(s)
	if placement == nil || len(t.owners) != s.Partitions {
		return
	}
	n.planRights(now, s, t, placement)
	request := n.assignRequest(now, s, t, placement)
	result := n.assign(request)
	d := &desiredOwners{servers: request.Servers, owners: result.Owners, keys: make(map[string]string)}
	for p := range d.owners {
		if !request.Placed[p] {
			d.owners[p] = Unowned
		}
	}
	for _, k := range result.Keys {
		if len(d.keys) < maxOverrides {
			d.keys[k.Key] = request.Servers[k.Server].Name
		}
	}
	h.desired[s.Name] = d
	n.moveKeys(s.Name, t, d)
	n.movePartitions(s.Name, d)
}

func (n *Node) assignRequest(now time.Duration, s *config.Service, t *serviceTable, placement *config.Placement) AssignRequest {
	h := n.holder
	r := AssignRequest{
		Now: now, Service: s.Name, Preference: string(n.config.Preference),
		Previous: make([]int, len(t.owners)), Placed: make([]bool, len(t.owners)),
		Load: h.partitionLoad[s.Name],
	}
	index := map[string]int{"": Unowned}
	for _, name := range h.tableLog.table.serverNames() {
		e := h.tableLog.table.servers[name]
		if e.service != s.Name {
			continue
		}
		server := AssignServer{Name: name, State: e.state, Weight: 1, Load: h.serverLoad[name]}
		if _, c, ok := n.configuredServer(name); ok {
			server.Weight = c.EffectiveWeight()
		} else {
			server.State = ServerDraining
		}
		index[name] = len(r.Servers)
		r.Servers = append(r.Servers, server)
	}
	for p, owner := range t.owners {
		i, ok := index[owner.Server]
		if !ok {
			i = Unowned
		}
		r.Previous[p] = i
		r.Placed[p] = placement.Cell(keyspace.Partition(p)) == n.cell && owner != (Owner{})
	}
	maps.DeleteFunc(h.keyLoad, func(_ unit, report keyLoadReport) bool { return now-report.receivedAt > keyLoadMaxAge })
	r.Keys = n.assignKeys(s.Name, t, index, placement)
	return r
}

func (n *Node) assignKeys(service string, t *serviceTable, index map[string]int, placement *config.Placement) []AssignKey {
	keys := make(map[string]AssignKey)
	for key, owner := range t.hotKeys {
		previous, ok := index[owner.Server]
		if !ok {
			previous = Unowned
		}
		keys[key] = AssignKey{Key: key, Previous: previous, Load: n.holder.keyLoad[unit{service: service, key: key}].load}
	}
	for u, report := range n.holder.keyLoad {
		if u.service != service {
			continue
		}
		if _, ok := keys[u.key]; !ok {
			keys[u.key] = AssignKey{Key: u.key, Previous: Unowned, Load: report.load}
		}
	}
	maps.DeleteFunc(keys, func(key string, _ AssignKey) bool {
		p := keyspace.PartitionOf(key, len(t.owners))
		return placement.Cell(p) != n.cell || t.owners[p] == (Owner{})
	})
	list := make([]AssignKey, 0, len(keys))
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		list = append(list, keys[key])
	}
	return list
}

// movePartitions starts the moves of partitions. The number of moves for balance is bounded; that of moves off a server
// that leaves or is down is not.
func (n *Node) movePartitions(service string, d *desiredOwners) {
	h := n.holder
	t := h.tableLog.table.services[service]
	moving := 0
	for p := range t.owners {
		if t.owners[p].Releasing {
			moving++
		}
	}
	for p := range t.owners {
		u := unit{service: service, partition: keyspace.Partition(p)}
		owner := t.owners[p]
		desired, _ := d.serverOf(u)
		if owner.Server == desired {
			continue
		}
		if owner.Server == "" {
			if e, ok := h.tableLog.table.servers[desired]; ok && e.state == ServerUp {
				n.grantUnit(u, desired)
			}
			continue
		}
		if e, ok := h.tableLog.table.servers[owner.Server]; ok && e.state == ServerUp && desired != "" {
			// A move that is not complete at the handover would have to wait until the new holder may move units (H3).
			if (moving >= maxBalanceMoves || n.leaving) && !owner.Releasing {
				h.replanAt = h.plannedAt + configSyncInterval
				continue
			}
			moving++
		}
		n.endOwnership(u)
	}
}

// moveKeys starts the moves of overrides. A new override starts as a release of the key by the owner of its partition.
func (n *Node) moveKeys(service string, t *serviceTable, d *desiredOwners) {
	h := n.holder
	if n.leaving {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(t.hotKeys)) {
		u := unit{service: service, key: key}
		desired, wanted := d.keys[key]
		if owner, _ := h.tableLog.table.owner(u); !wanted || owner.Server != desired {
			n.endOwnership(u)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(d.keys)) {
		u := unit{service: service, key: key}
		if _, ok := h.tableLog.table.owner(u); ok {
			continue
		}
		owner, ok := h.tableLog.table.owner(n.partitionOf(u))
		if !ok || n.unitState(n.partitionOf(u), owner) == releasing {
			continue
		}
		owner.Releasing = owner.Server != ""
		h.tableLog.putOwner(u, owner)
		n.endOwnership(u)
	}
}
