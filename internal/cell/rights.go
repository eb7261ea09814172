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
// places here. A cell has the right to a partition while its entry in the table has a token. It gives the right up by
// clearing the entry, and takes it only when every other cell answered that it does not hold the partition.
type rightsState struct {
	revision uint64
	askedAt  time.Duration
	asked    bool
	// free holds, for each cell that answered, the partitions that it does not hold.
	free map[string][]bool
}

// planRights gives up the partitions that left the cell, and asks for those that came to it.
func (n *Node) planRights(now time.Duration, s *config.Service, t *serviceTable, placement *config.Placement) {
	h := n.holder
	state := h.rights[s.Name]
	if state == nil || state.revision != n.config.Revision {
		state = &rightsState{revision: n.config.Revision, free: make(map[string][]bool)}
		h.rights[s.Name] = state
	}
	others := n.otherCells()
	missing := false
	for p := range t.owners {
		u := unit{service: s.Name, partition: keyspace.Partition(p)}
		here := placement.Cell(u.partition) == n.cell
		switch {
		case !here && t.owners[p].Server == "" && t.owners[p] != (Owner{}) && !n.hasOverride(u, t):
			h.ledger.putOwner(u, Owner{})
		case here && t.owners[p] == (Owner{}):
			if n.config.Revision > 1 && !state.freeEverywhere(p, others) && !n.faults.noRights {
				missing = true
				continue
			}
			h.ledger.putOwner(u, Owner{Token: n.nextToken()})
		}
	}
	if !missing {
		return
	}
	h.replanAt = now + rightsInterval
	if !state.asked || now-state.askedAt >= rightsInterval {
		state.asked, state.askedAt = true, now
		n.askRights(now, s, state, others)
	}
}

// dropRights forgets all owners. A recovered table that follows an earlier configuration may name partitions that
// the cell has given up since.
func (t *table) dropRights() {
	for _, s := range t.services {
		s.own()
		clear(s.owners)
		s.hot = nil
	}
}

// hasOverride reports whether a key of the partition still has an owner here.
func (n *Node) hasOverride(p unit, t *serviceTable) bool {
	for key := range t.hot {
		if n.partitionOf(unit{service: p.service, key: key}) == p {
			return true
		}
	}
	return false
}

func (s *rightsState) freeEverywhere(p int, cells []string) bool {
	return !slices.ContainsFunc(cells, func(cell string) bool {
		free := s.free[cell]
		return p >= len(free) || !free[p]
	})
}

// otherCells returns the cells that may hold partitions: all others, except those of zones that an operator declared
// lost.
func (n *Node) otherCells() []string {
	return slices.DeleteFunc(n.config.Cells(), func(cell string) bool {
		return cell == n.cell || slices.ContainsFunc(n.config.CellHosts(cell), func(host config.Host) bool {
			return slices.ContainsFunc(n.config.Zones, func(z config.Zone) bool { return z.Name == host.Zone && z.Lost })
		})
	})
}

// askRights asks the gateways of each cell; only a holder answers. A cell without a record in the store never had an
// authority.
func (n *Node) askRights(now time.Duration, s *config.Service, state *rightsState, cells []string) {
	for _, cell := range cells {
		for _, host := range n.config.CellHosts(cell) {
			n.send(Member{Host: host.Name}, &wire.Control{Body: &wire.Control_RightsQuery{
				RightsQuery: &wire.RightsQuery{Service: s.Name, Partitions: uint32(s.Partitions)},
			}})
		}
		if _, ok := state.free[cell]; ok {
			continue
		}
		n.storeGet(now, "cells/"+cell, func(_ time.Duration, r StoreResult) {
			if errors.Is(r.Err, store.ErrNotFound) && state.free[cell] == nil {
				state.free[cell] = slices.Repeat([]bool{true}, s.Partitions)
			}
		})
	}
}

// onRightsQuery answers as holder, from the table that the successor has. Its revision shows that no successor grants
// the partitions again under an earlier configuration.
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
	state.free[a.Cell] = free
	h.planDue = true
}
