package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// lapse is a wait for the last grant of a unit whose home cannot withdraw it (H4).
type lapse struct {
	token fence.Token
	until time.Duration
}

// nextToken returns a token above all earlier ones of the cell (H5).
func (n *Node) nextToken() fence.Token {
	n.holder.tokenSeq++
	return fence.Token{Generation: n.pair.Generation, Term: n.pair.Term, Seq: n.holder.tokenSeq}
}

// stateOf returns the state of a unit at the holder.
func (n *Node) stateOf(u unit, owner Owner) ownership {
	switch {
	case owner.Server == "":
		return unassigned
	case !owner.Releasing:
		return granted
	}
	if l, ok := n.holder.lapses[u]; ok && l.token == owner.Token {
		return lapsing
	}
	return releasing
}

// grantUnit records a new owner with a new token.
func (n *Node) grantUnit(u unit, server string) {
	owner, ok := n.holder.ledger.table.owner(u)
	if !ok || !n.ownership.can(n.stateOf(u, owner), eventGrant) {
		return
	}
	n.holder.ledger.putOwner(u, Owner{Server: server, Token: n.nextToken()})
}

// releaseUnit asks the home to stop the unit and to report its release.
func (n *Node) releaseUnit(u unit) {
	owner, ok := n.holder.ledger.table.owner(u)
	if !ok || !n.ownership.can(n.stateOf(u, owner), eventRelease) {
		return
	}
	owner.Releasing = true
	n.holder.ledger.putOwner(u, owner)
}

// freeUnit ends the ownership of a unit whose release was reported or whose last grant is over, and grants it to
// the wanted owner.
func (n *Node) freeUnit(u unit) {
	h := n.holder
	owner, ok := h.ledger.table.owner(u)
	if !ok || !n.ownership.can(n.stateOf(u, owner), eventFree) {
		return
	}
	delete(h.lapses, u)
	h.ledger.putOwner(u, Owner{Token: owner.Token})
	n.settle(u)
}

// settle grants an unassigned unit to its wanted owner, or removes an override that is no longer wanted.
func (n *Node) settle(u unit) {
	h := n.holder
	want, known := h.desired[u.service].server(u)
	e, ok := h.ledger.table.servers[want]
	switch {
	case known && want == "" && u.key != "":
		n.removeOverride(u)
	case known && ok && e.state == ServerUp:
		n.grantUnit(u, want)
	default:
		h.planDue = true
	}
}

// removeOverride returns a key to its partition. The partition gets a new token, so that the tokens of the key
// still grow.
func (n *Node) removeOverride(u unit) {
	h := n.holder
	h.ledger.removeKey(u)
	// The cell gives up the right to a partition that moved to another cell only once it has no override.
	h.planDue = true
	p := n.partitionOf(u)
	if owner, ok := h.ledger.table.owner(p); ok && n.stateOf(p, owner) == granted {
		owner.Token = n.nextToken()
		h.ledger.putOwner(p, owner)
	}
}

// takeRelease ends the ownership that a home reported as released (H6).
func (n *Node) takeRelease(from Member, u unit, token fence.Token) {
	owner, ok := n.holder.ledger.table.owner(u)
	if !ok || !owner.Releasing || owner.Token != token {
		return
	}
	if e, ok := n.holder.ledger.table.servers[owner.Server]; ok && e.home == from {
		n.freeUnit(u)
	}
}

// takeServerRelease ends the part of a home for one server.
func (n *Node) takeServerRelease(from Member, name string, token fence.Token) {
	e, ok := n.holder.ledger.table.servers[name]
	if ok && e.home == from && e.token == token && n.ownership.can(stateOfServer(e), eventFree) {
		n.freeServer(name)
	}
}

// takeServerStatus records the health of a server. What a home latched on a server that was down runs out (H4).
func (n *Node) takeServerStatus(now time.Duration, from Member, s *wire.ServerStatus) {
	h := n.holder
	e, ok := h.ledger.table.servers[s.Server]
	if !ok || e.home != from {
		return
	}
	h.draining[s.Server] = s.Draining
	if state := n.reportedState(now, s); state != e.state {
		changed := *e
		changed.state = state
		h.ledger.putServer(changed)
		h.planDue = true
		n.event("cell/server-state", s.Server, "server is "+string(changed.state))
	}
	if s.Token == nil {
		return
	}
	latch := tokenFrom(s.Token)
	until := now + withDrift(time.Duration(s.RemainingNanos)) + MaxClockSkew
	h.ledger.table.unitsOf(s.Server, func(u unit, owner Owner) {
		if latch.Less(owner.Token) {
			return
		}
		n.releaseUnit(u)
		if l, ok := h.lapses[u]; !ok || l.token != owner.Token {
			h.lapses[u] = lapse{token: owner.Token, until: until}
		}
	})
}

// reportedState returns the state of a server by the report of its home and the announced stops.
func (n *Node) reportedState(now time.Duration, s *wire.ServerStatus) ServerState {
	switch {
	case s.Down:
		return ServerDown
	case s.Draining || n.stopping(s.Server, now):
		return ServerDraining
	default:
		return ServerUp
	}
}

// expireLapses frees the units whose last grant is over.
func (n *Node) expireLapses(now time.Duration) {
	h := n.holder
	for _, u := range slices.SortedFunc(maps.Keys(h.lapses), orderUnits) {
		l := h.lapses[u]
		owner, ok := h.ledger.table.owner(u)
		if !ok || owner.Token != l.token {
			delete(h.lapses, u)
			continue
		}
		if now > l.until {
			n.freeUnit(u)
		}
	}
}

// stateOfServer returns the state of a server's home at the holder.
func stateOfServer(e *serverEntry) ownership {
	switch {
	case e.home.IsZero():
		return unassigned
	case e.releasing:
		return releasing
	}
	return granted
}

// lapseServer ends the part of a home whose last lease is over.
func (n *Node) lapseServer(name string) {
	e := n.holder.ledger.table.servers[name]
	if n.ownership.can(stateOfServer(e), eventLapse) {
		n.event("cell/home-lapsed", name, "last lease of home "+e.home.Host+" is over")
		n.freeServer(name)
	}
}

// freeServer records that a server has no home and that nothing of its former home is in force.
func (n *Node) freeServer(name string) {
	h := n.holder
	e := *h.ledger.table.servers[name]
	e.home, e.releasing = Member{}, false
	h.ledger.putServer(e)
	h.planDue = true
	var pending []unit
	h.ledger.table.unitsOf(name, func(u unit, owner Owner) {
		if owner.Releasing {
			pending = append(pending, u)
		}
	})
	for _, u := range pending {
		n.freeUnit(u)
	}
}

// grantServer gives a server a home, and time to fetch its first lease. All units of the server get new tokens, above
// those of the former home.
func (n *Node) grantServer(now time.Duration, name string, home Member) {
	h := n.holder
	e := *h.ledger.table.servers[name]
	if !n.ownership.can(stateOfServer(&e), eventGrant) {
		return
	}
	e.home, e.token, e.releasing = home, n.nextToken(), false
	if record := h.members[home]; record != nil {
		record.leaseEnd = max(record.leaseEnd, now+withDrift(HomeLease))
	}
	h.ledger.putServer(e)
	var units []unit
	h.ledger.table.unitsOf(name, func(u unit, _ Owner) { units = append(units, u) })
	for _, u := range units {
		owner, _ := h.ledger.table.owner(u)
		owner.Token = n.nextToken()
		h.ledger.putOwner(u, owner)
	}
	n.event("cell/home-granted", name, "home is "+home.Host)
}

// releaseServer asks the home to stop using the server and to report it.
func (n *Node) releaseServer(name string) {
	e := *n.holder.ledger.table.servers[name]
	if !n.ownership.can(stateOfServer(&e), eventRelease) {
		return
	}
	e.releasing = true
	n.holder.ledger.putServer(e)
}
