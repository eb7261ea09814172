package ownership

import "time"

// NewAssignerFromTable returns an assigner that continues from a recorded table. The keys stay with their owners, but
// each row gets a new token: an owner that has seen it refuses further renewals from an earlier assigner.
func NewAssignerFromTable(settings Settings, table *Table, now time.Duration) *Assigner {
	a := newAssigner(settings, table.NextToken)
	deadlines := a.takeOverHosts(table, now)
	for _, row := range table.Rows {
		state := deadlines.takeOverRow(row, settings, now)
		a.renewFenceTokens(state)
		state.token = a.newToken()
		a.markChanged(state)
		a.rows = append(a.rows, state)
	}
	// A gateway elected earlier on this host has either exited or is this process.
	a.HostStopped(settings.Host, now)
	return a
}

// renewFenceTokens gives new tokens to the former grants that are still to be fenced: a fencing grant of the earlier assigner may
// still arrive, and one with the same token would not make its holder refuse it.
func (a *Assigner) renewFenceTokens(r *rowState) {
	for _, g := range r.formerGrants {
		if g.unfenced {
			g.token = a.newToken()
		}
	}
}

// takeoverDeadlines are the times at which the last grants of earlier assigners expire. An earlier assigner acts only on
// the tables that it has recorded: for a while it may still renew the grants of owners, but not those of former holders.
type takeoverDeadlines struct {
	// owner is for the owners in the table, whose grants any earlier assigner may renew.
	owner time.Duration
	// unfenced is for former holders whose grants the assigners before the writer of the table may renew.
	unfenced time.Duration
	// fenced is for former holders whose grants nobody renews.
	fenced time.Duration
}

// takeOverHosts records the hosts whose gateways may still act, and returns the resulting deadlines.
func (a *Assigner) takeOverHosts(table *Table, now time.Duration) takeoverDeadlines {
	deadlines := takeoverDeadlines{fenced: a.lastExpiry(now, a.settings.OrderTimeout)}
	ends := make(map[string]time.Duration, len(table.Hosts))
	for _, host := range table.Hosts {
		ends[host.Name] = now + min(host.Grace, a.settings.PredecessorGrace)
		if host.Name != table.Writer {
			a.activeHosts[host.Name] = ends[host.Name]
		}
	}
	deadlines.unfenced = a.lastExpiry(now, a.settings.OrderLifetime)
	a.activeHosts = ends
	deadlines.owner = a.lastExpiry(now, a.settings.OrderLifetime)
	return deadlines
}

func (d takeoverDeadlines) takeOverRow(row Row, settings Settings, now time.Duration) *rowState {
	state := &rowState{keys: row.Keys, owner: row.Owner, moving: row.Moving}
	if !row.Owner.IsZero() {
		state.heldUntil, state.unconfirmedUntil = d.owner, d.owner
		state.inherited = true
	}
	for _, former := range row.Former {
		state.formerGrants = append(state.formerGrants, d.takeOverFormer(former, settings, now))
	}
	return state
}

// takeOverFormer returns the grant of a former holder in a recorded table. The assigner that wrote the table has sent it no grants since
// then, apart from fencing grants.
func (d takeoverDeadlines) takeOverFormer(former FormerHolder, settings Settings, now time.Duration) *formerGrant {
	if !former.Unfenced {
		return former.grant(now, d.fenced)
	}
	g := former.grant(now, d.unfenced)
	lastFence := now + settings.OrderLifetime + longestHold(fenceDuration)
	g.heldUntil, g.unconfirmedUntil = max(g.heldUntil, lastFence), max(g.unconfirmedUntil, lastFence)
	return g
}

// lastExpiry returns when the last grant expires that an earlier assigner has sent or may still send, if its orders arrive no later
// than arrival after its end.
func (a *Assigner) lastExpiry(now, arrival time.Duration) time.Duration {
	last := now
	for _, end := range a.activeHosts {
		last = max(last, end)
	}
	return last + arrival + a.settings.maxHold()
}

// HostStopped records that the gateway on a host no longer acts on an earlier table. Orders that it has already sent
// may still arrive, also long after the end of its process. Once this holds for all hosts, the keys of owners that have confirmed
// no grant since become free when the grants sent so far have expired.
func (a *Assigner) HostStopped(host string, now time.Duration) {
	if _, active := a.activeHosts[host]; !active {
		return
	}
	delete(a.activeHosts, host)
	a.shortenInherited(now)
}

// shortenInherited limits the grants of earlier assigners to the time at which the last one expires.
func (a *Assigner) shortenInherited(now time.Duration) {
	end := a.lastExpiry(now, a.settings.OrderLifetime)
	endOfLost := a.lastExpiry(now, a.settings.OrderTimeout)
	for _, r := range a.rows {
		if r.inherited {
			r.heldUntil, r.unconfirmedUntil = min(r.heldUntil, end), min(r.unconfirmedUntil, end)
		}
		for _, g := range r.formerGrants {
			switch {
			case g.lostMove:
				g.heldUntil, g.unconfirmedUntil = min(g.heldUntil, endOfLost), min(g.unconfirmedUntil, endOfLost)
			case g.unfenced:
				g.heldUntil, g.unconfirmedUntil = min(g.heldUntil, end), min(g.unconfirmedUntil, end)
			}
		}
	}
}
