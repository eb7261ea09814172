package cell

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// rightsState is what a holder learned from other cells about the partitions of one service that the configuration
// places in this cell. A cell holds the right to a partition while the partition's entry in its table has a token. It
// gives up the right by clearing the entry, and takes it only after every other cell answered that it does not hold the
// partition.
type rightsState struct {
	revision  uint64
	queriedAt time.Duration
	queried   bool
	// notHeld has, for each cell that answered, true for each partition that it does not hold.
	notHeld map[string][]bool
}

// planRights gives up the partitions that the configuration places in another cell, and asks other cells for those that
// it places in this one.
func (n *Node) planRights(now time.Duration, s *config.Service, t *serviceTable, placement *config.Placement) {
	h := n.holder
	state := h.rights[s.Name]
	if state == nil || state.revision != n.config.Revision {
		state = &rightsState{revision: n.config.Revision, notHeld: make(map[string][]bool)}
		h.rights[s.Name] = state
	}
	otherCells := n.otherCells()
	unresolved := false
	for p := range t.owners {
		u := unit{service: s.Name, partition: keyspace.Partition(p)}
		placedHere := placement.Cell(u.partition) == n.cell
		switch {
		case !placedHere && t.owners[p].Server == "" && t.owners[p] != (Owner{}) && !n.hasOverride(u, t):
			h.tableLog.putOwner(u, Owner{})
		case placedHere && t.owners[p] == (Owner{}):
			if n.config.Revision > 1 && !state.notHeldElsewhere(p, otherCells) && !n.faults.skipRightsQuery {
				unresolved = true
				continue
			}
			h.tableLog.putOwner(u, Owner{Token: n.nextToken()})
		}
	}
	if !unresolved {
		return
	}
	h.replanAt = now + rightsInterval
	if !state.queried || now-state.queriedAt >= rightsInterval {
		state.queried, state.queriedAt = true, now
		n.queryRights(now, s, state, otherCells)
	}
}

// clearOwners removes all owners. A recovered table that follows an earlier configuration may have partitions that the
// cell gave up since.
func (t *table) clearOwners() {
	for _, s := range t.services {
		s.copyIfShared()
		clear(s.owners)
		s.hotKeys = nil
	}
}

// hasOverride reports whether a hot key of the partition still has an owner in this cell.
func (n *Node) hasOverride(p unit, t *serviceTable) bool {
	for key := range t.hotKeys {
		if n.partitionOf(unit{service: p.service, key: key}) == p {
			return true
		}
	}
	return false
}

func (s *rightsState) notHeldElsewhere(p int, cells []string) bool {
	return !slices.ContainsFunc(cells, func(cell string) bool {
		free := s.notHeld[cell]
		return p >= len(free) || !free[p]
	})
}

// otherCells returns the cells that may hold partitions: all others except those in availability zones that an operator
// declared lost.
func (n *Node) otherCells() []string {
	return slices.DeleteFunc(n.config.Cells(), func(cell string) bool {
		return cell == n.cell || slices.ContainsFunc(n.config.CellHosts(cell), func(host config.Host) bool {
			return slices.ContainsFunc(n.config.Zones, func(z config.Zone) bool { return z.Name == host.Zone && z.Lost })
		})
	})
}

// queryRights sends a query to the gateways of each cell; only a holder answers it. A cell without a record in the
// store never had an authority and so holds nothing.
func (n *Node) queryRights(now time.Duration, s *config.Service, state *rightsState, cells []string) {
	for _, cell := range cells {
		for _, host := range n.config.CellHosts(cell) {
			n.send(Member{Host: host.Name}, &wire.Control{Body: &wire.Control_RightsQuery{
				RightsQuery: &wire.RightsQuery{Service: s.Name, Partitions: uint32(s.Partitions)},
			}})
		}
		if _, ok := state.notHeld[cell]; ok {
			continue
		}
		n.storeGet(now, "cells/"+cell, func(_ time.Duration, r StoreResult) {
			if errors.Is(r.Err, store.ErrNotFound) && state.notHeld[cell] == nil {
				state.notHeld[cell] = slices.Repeat([]bool{true}, s.Partitions)
			}
		})
	}
}

// onRightsQuery answers as holder from the published table, which the successor has. The revision of that table shows
// that no successor grants the partitions again under an earlier configuration.
func (n *Node) onRightsQuery(now time.Duration, from Member, revision uint64, q *wire.RightsQuery) {
	if !n.Acting(now) || n.table.generation != n.pair.Generation || n.table.revision < revision {
		return
	}
	a := &wire.RightsAnswer{Service: q.Service, Cell: n.cell, Revision: revision}
	if t, ok := n.table.services[q.Service]; ok {
		if len(t.owners) != int(q.Partitions) {
			return
		}
		for p := range t.owners {
			if t.owners[p] != (Owner{}) {
				a.Held = append(a.Held, uint32(p))
			}
		}
	}
	n.send(from, &wire.Control{Body: &wire.Control_RightsAnswer{RightsAnswer: a}})
}

func (n *Node) onRightsAnswer(now time.Duration, a *wire.RightsAnswer) {
	h := n.holder
	if h == nil || !n.Acting(now) {
		return
	}
	state := h.rights[a.Service]
	s, ok := n.config.Service(a.Service)
	if state == nil || !ok || a.Revision != state.revision || state.revision != n.config.Revision {
		return
	}
	free := slices.Repeat([]bool{true}, s.Partitions)
	for _, p := range a.Held {
		if int(p) < len(free) {
			free[p] = false
		}
	}
	state.notHeld[a.Cell] = free
	h.planDue = true
}
