package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// lapse is the wait until the last grant of a unit has expired, for a home that cannot withdraw it (H4).
type lapse struct {
	token fence.Token
	until time.Duration
}

// nextToken returns a token greater than all earlier ones of the cell (H5).
func (n *Node) nextToken() fence.Token {
	n.holder.tokenSeq++
	return fence.Token{Generation: n.pair.Generation, Term: n.pair.Term, Seq: n.holder.tokenSeq}
}

// unitState returns the ownership state of a unit at the holder.
func (n *Node) unitState(u unit, owner Owner) ownershipState {
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
	owner, ok := n.holder.tableLog.table.owner(u)
	if !ok || !n.ownership.allows(n.unitState(u, owner), eventGrant) {
		return
	}
	n.holder.tableLog.putOwner(u, Owner{Server: server, Token: n.nextToken()})
}

// releaseUnit marks a unit as releasing: its home must stop sending requests for it and report the release.
func (n *Node) releaseUnit(u unit) {
	owner, ok := n.holder.tableLog.table.owner(u)
	if !ok || !n.ownership.allows(n.unitState(u, owner), eventRelease) {
		return
	}
	owner.Releasing = true
	n.holder.tableLog.putOwner(u, owner)
}

// freeUnit ends the ownership of a unit whose release was reported or whose last grant expired, and grants it to its
// desired owner.
func (n *Node) freeUnit(u unit) {
	h := n.holder
	owner, ok := h.tableLog.table.owner(u)
	if !ok || !n.ownership.allows(n.unitState(u, owner), eventFree) {
		return
	}
	delete(h.lapses, u)
	h.tableLog.putOwner(u, Owner{Token: owner.Token})
	n.assignFreeUnit(u)
}

// assignFreeUnit grants an unassigned unit to its desired owner, or removes an override that is no longer desired.
func (n *Node) assignFreeUnit(u unit) {
	h := n.holder
	desired, known := h.desired[u.service].serverOf(u)
	e, ok := h.tableLog.table.servers[desired]
	switch {
	case known && desired == "" && u.key != "":
		n.removeOverride(u)
	case known && ok && e.state == ServerUp:
		n.grantUnit(u, desired)
	default:
		h.planDue = true
	}
}

// removeOverride returns a hot key to its partition. The partition gets a new token, so that the tokens used for the
// key still increase.
func (n *Node) removeOverride(u unit) {
	h := n.holder
	h.tableLog.removeKey(u)
	// A partition that moved to another cell is given up only once it has no override.
	h.planDue = true
	p := n.partitionOf(u)
	if owner, ok := h.tableLog.table.owner(p); ok && n.unitState(p, owner) == granted {
		owner.Token = n.nextToken()
		h.tableLog.putOwner(p, owner)
	}
}

// applyRelease frees a unit whose home reported its release (H6).
func (n *Node) applyRelease(from Member, u unit, token fence.Token) {
	owner, ok := n.holder.tableLog.table.owner(u)
	if !ok || !owner.Releasing || owner.Token != token {
		return
	}
	if e, ok := n.holder.tableLog.table.servers[owner.Server]; ok && e.home == from {
		n.freeUnit(u)
	}
}

// applyServerRelease removes the home of a server whose release the home reported.
func (n *Node) applyServerRelease(from Member, name string, token fence.Token) {
	e, ok := n.holder.tableLog.table.servers[name]
	if ok && e.home == from && e.token == token && n.ownership.allows(serverHomeState(e), eventFree) {
		n.freeServer(name)
	}
}

// applyServerStatus records the health of a server. The tokens that its home revoked while the server was down stay in
// force until the last grant expires (H4).
func (n *Node) applyServerStatus(now time.Duration, from Member, s *wire.ServerStatus) {
	h := n.holder
	e, ok := h.tableLog.table.servers[s.Server]
	if !ok || e.home != from {
		return
	}
	h.draining[s.Server] = s.Draining
	if state := n.reportedState(now, s); state != e.state {
		changed := *e
		changed.state = state
		h.tableLog.putServer(changed)
		h.planDue = true
		n.event("cell/server-state", s.Server, "server is "+string(changed.state))
	}
	if s.Token == nil {
		return
	}
	revoked := tokenFromWire(s.Token)
	until := now + withDrift(time.Duration(s.RemainingNanos)) + MaxClockSkew
	h.tableLog.table.forEachUnitOf(s.Server, func(u unit, owner Owner) {
		if revoked.Less(owner.Token) {
			return
		}
		n.releaseUnit(u)
		if l, ok := h.lapses[u]; !ok || l.token != owner.Token {
			h.lapses[u] = lapse{token: owner.Token, until: until}
		}
	})
}

// reportedState returns the state of a server from the report of its home and the planned stops.
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

// expireLapses frees the units whose last grant expired.
func (n *Node) expireLapses(now time.Duration) {
	h := n.holder
	for _, u := range slices.SortedFunc(maps.Keys(h.lapses), compareUnits) {
		l := h.lapses[u]
		owner, ok := h.tableLog.table.owner(u)
		if !ok || owner.Token != l.token {
			delete(h.lapses, u)
			continue
		}
		if now > l.until {
			n.freeUnit(u)
		}
	}
}

// serverHomeState returns the ownership state of a server at the holder.
func serverHomeState(e *serverEntry) ownershipState {
	switch {
	case e.home.IsZero():
		return unassigned
	case e.releasing:
		return releasing
	}
	return granted
}

// lapseServer removes the home of a server after the last lease of that home expired.
func (n *Node) lapseServer(name string) {
	e := n.holder.tableLog.table.servers[name]
	if n.ownership.allows(serverHomeState(e), eventLapse) {
		n.event("cell/home-lapsed", name, "the last lease of home "+e.home.Host+" has expired")
		n.freeServer(name)
	}
}

// freeServer removes the home of a server, once no request or grant of that home can be in force, and frees the units
// that were being released.
func (n *Node) freeServer(name string) {
	h := n.holder
	e := *h.tableLog.table.servers[name]
	e.home, e.releasing = Member{}, false
	h.tableLog.putServer(e)
	h.planDue = true
	var pending []unit
	h.tableLog.table.forEachUnitOf(name, func(u unit, owner Owner) {
		if owner.Releasing {
			pending = append(pending, u)
		}
	})
	for _, u := range pending {
		n.freeUnit(u)
	}
}

// grantServer assigns a home to a server. The home counts as having a lease from now on, so that the server does not
// lapse before the home gets its first one. All units of the server get new tokens, greater than those of the former
// home.
func (n *Node) grantServer(now time.Duration, name string, home Member) {
	h := n.holder
	e := *h.tableLog.table.servers[name]
	if !n.ownership.allows(serverHomeState(&e), eventGrant) {
		return
	}
	e.home, e.token, e.releasing = home, n.nextToken(), false
	if record := h.members[home]; record != nil {
		record.leaseEnd = max(record.leaseEnd, now+withDrift(HomeLease))
	}
	h.tableLog.putServer(e)
	var units []unit
	h.tableLog.table.forEachUnitOf(name, func(u unit, _ Owner) { units = append(units, u) })
	for _, u := range units {
		owner, _ := h.tableLog.table.owner(u)
		owner.Token = n.nextToken()
		h.tableLog.putOwner(u, owner)
	}
	n.event("cell/home-granted", name, "home is "+home.Host)
}

// releaseServer marks a server as releasing: its home must stop using it and report the release.
func (n *Node) releaseServer(name string) {
	e := *n.holder.tableLog.table.servers[name]
	if !n.ownership.allows(serverHomeState(&e), eventRelease) {
		return
	}
	e.releasing = true
	n.holder.tableLog.putServer(e)
}
