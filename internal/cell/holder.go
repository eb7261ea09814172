package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// holderState is the part of a gateway that decides ownership.
type holderState struct {
	ledger *ledger
	// tokenSeq is the seq of the last fencing token of the term.
	tokenSeq uint64
	// authorityEnd is the end of the lease of A1; never while solo before Install.
	authorityEnd time.Duration
	// committed is the version through which changes may be published.
	committed uint64

	// renewals to the successor.
	renewSeq   uint64
	renewSent  map[uint64]time.Duration
	renewedAt  time.Duration
	ackedAt    time.Duration
	acked      uint64
	sentUpTo   uint64
	installing bool
	triedAt    time.Duration

	// proposal is an arbiter that the successor has not acknowledged (A6).
	proposal *arbiterChoice
	poisoned bool
	probed   map[string]*probedHost
	probeAt  time.Duration

	claim    *claim
	attempts uint64

	members map[Member]*memberRecord
	// noMoveUntil ends the wait of H3 for home leases of a predecessor; noLeaseUntil that of A8.
	noMoveUntil  time.Duration
	noLeaseUntil time.Duration
	lapses       map[unit]lapse
	desired      map[string]*desiredOwners
	load         map[string][]float64
	keyLoad      map[unit]keyLoadRow
	serverLoad   map[string]float64
	rights       map[string]*rightsState
	planDue      bool
	plannedAt    time.Duration
	syncedAt     time.Duration
	replanAt     time.Duration
	placedAt     *config.Config
	placed       map[string]*config.Placement

	record     recordStore
	tableStore tableStore
	// raising is true while the generation is being raised; no successor is installed meanwhile.
	raising bool
}

func newHolderState(now time.Duration, t *table) *holderState {
	return &holderState{
		ledger:       newLedger(t),
		authorityEnd: never,
		committed:    t.version,
		renewSent:    make(map[uint64]time.Duration),
		members:      make(map[Member]*memberRecord),
		probed:       make(map[string]*probedHost),
		lapses:       make(map[unit]lapse),
		desired:      make(map[string]*desiredOwners),
		load:         make(map[string][]float64),
		keyLoad:      make(map[unit]keyLoadRow),
		serverLoad:   make(map[string]float64),
		rights:       make(map[string]*rightsState),
		planDue:      true,
		ackedAt:      now,
		tableStore:   tableStore{writtenAt: now - tableWriteInterval},
	}
}

// win makes this gateway the sole authority of the next term (A3).
func (n *Node) win(now time.Duration) {
	epoch := Epoch{Generation: n.pair.Generation, Term: n.pair.Term + 1}
	if n.holder == nil {
		n.holder = n.takeOver(now)
	}
	n.successor = nil
	n.promote(now, epoch)
}

// takeOver builds the holder's state of a successor from its copy of the table. The predecessor may have renewed
// home leases until its authority ended, which is before now (A2).
func (n *Node) takeOver(now time.Duration) *holderState {
	h := newHolderState(now, n.table)
	end := now + withDrift(HomeLease)
	for _, name := range h.ledger.table.serverNames() {
		home := h.ledger.table.servers[name].home
		if !home.IsZero() {
			h.members[home] = &memberRecord{leaseEnd: end, heardAt: now}
		}
	}
	h.noMoveUntil = end + MaxClockSkew
	if n.faults.noHomeWait {
		h.noMoveUntil = now
	}
	return h
}

// promote makes this gateway solo in epoch. It is called after a claim was granted or the generation was written.
func (n *Node) promote(now time.Duration, epoch Epoch) {
	h := n.holder
	n.pair = Pair{Epoch: epoch, Seq: 1, Holder: n.self}
	h.authorityEnd = never
	h.claim, h.proposal, h.poisoned = nil, nil, false
	h.installing = false
	h.tokenSeq = 0
	h.renewSent = make(map[uint64]time.Duration)
	h.triedAt = now - HeartbeatInterval
	h.planDue = true
	n.contact = contact{heardAt: now}
	n.handover = nil
	n.fire(eventWin)
	n.event("cell/holder-changed", "", "this gateway is the sole authority of the next term")
	n.sendToCell(func() *wire.Control { return locatedMessage(n.pair) })
	n.selfHeartbeat(now)
}

// tickHolder renews, claims, replaces the successor and the arbiter, and plans.
func (n *Node) tickHolder(now time.Duration) {
	h := n.holder
	if h == nil {
		return
	}
	n.probeArbiters(now)
	if !n.pair.Successor.IsZero() {
		n.renew(now)
		n.claimTerm(now)
		n.replaceArbiter(now)
	} else {
		n.install(now)
	}
	if n.holder == nil || !n.Acting(now) {
		return
	}
	n.selfHeartbeat(now)
	n.expireMembers(now)
	n.plan(now)
	n.writeStore(now)
	n.handOver(now)
}

// renew sends a renewal to the successor if one is due. It is sent also after the lease ended: an acknowledgement
// shows that the successor has not claimed.
func (n *Node) renew(now time.Duration) {
	h := n.holder
	version := h.ledger.table.version
	if now-h.renewedAt < HeartbeatInterval && h.sentUpTo >= version {
		return
	}
	h.renewedAt = now
	h.sentUpTo = version
	h.renewSeq++
	h.renewSent[h.renewSeq] = now
	delete(h.renewSent, h.renewSeq-sentHeartbeats)
	body := &wire.Renew{Seq: h.renewSeq, Install: h.installing}
	if h.installing {
		body.Pair = n.pair.toWire()
		body.Table = h.ledger.table.whole()
	} else {
		body.Table = h.ledger.since(h.ledger.table.generation, h.acked, version, h.ledger.table)
	}
	if h.proposal != nil {
		body.Pair = n.proposedPair().toWire()
	}
	n.send(n.pair.Successor, &wire.Control{Body: &wire.Control_Renew{Renew: body}})
}

// onRenewAck extends the lease and commits the changes that the successor has (A1, H7).
func (n *Node) onRenewAck(now time.Duration, from Member, epoch Epoch, a *wire.RenewAck) {
	h := n.holder
	if h == nil || epoch != n.pair.Epoch || from != n.pair.Successor {
		return
	}
	sent, ok := h.renewSent[a.Seq]
	if !ok {
		return
	}
	if h.installing {
		h.installing = false
		h.authorityEnd = sent + AuthorityLease
		n.fire(eventActivate)
	}
	h.authorityEnd = max(h.authorityEnd, sent+AuthorityLease)
	h.ackedAt = now
	h.acked = max(h.acked, min(a.TableVersion, h.ledger.table.version))
	if h.proposal != nil && a.ArbiterSeq == h.proposal.seq {
		n.pair = n.proposedPair()
		h.proposal, h.poisoned = nil, false
		n.changed = true
		n.event("cell/arbiter-changed", "", "arbiter is "+n.pair.Arbiter.Host)
	}
	if a.Withdrawn && a.ArbiterSeq == n.pair.ArbiterSeq {
		h.poisoned = true
	}
}

// claimTerm starts a claim when the successor is silent or must be replaced, and repeats it until it is decided (A5).
func (n *Node) claimTerm(now time.Duration) {
	h := n.holder
	if h.claim == nil && (now-h.ackedAt > SuspectAfter || n.successorUnwanted(now)) {
		h.attempts++
		h.claim = newClaim(now, n.pair.Epoch, h.attempts)
		n.event("cell/claim", "", "successor is silent or leaves")
	}
	n.sendClaim(now)
}

// advance seals changes, commits what may be committed and publishes it to this gateway's traffic.
func (n *Node) advance(now time.Duration) {
	h := n.holder
	if !n.Acting(now) {
		return
	}
	h.ledger.seal()
	if n.pair.Successor.IsZero() {
		h.committed = h.ledger.table.version
	} else {
		h.committed = max(h.committed, h.acked)
		if n.faults.publishUnacked {
			h.committed = h.ledger.table.version
		}
		n.acknowledged = max(n.acknowledged, h.acked)
		if h.sentUpTo < h.ledger.table.version {
			n.renew(now)
		}
	}
	n.publish()
}

// publish brings the table of this gateway's traffic to the committed version.
func (n *Node) publish() {
	h := n.holder
	t := h.ledger.table
	if n.table.generation == t.generation && n.table.version >= h.committed {
		return
	}
	if n.table.generation == t.generation && n.table.version >= h.ledger.base {
		d := h.ledger.since(t.generation, n.table.version, h.committed, nil)
		n.applyTable(d)
		n.push(d)
		return
	}
	if h.committed == t.version {
		n.applyTable(t.whole())
	}
}

// push sends the table at once to the homes that d concerns, so that a move does not wait for their next heartbeat.
func (n *Node) push(d *wire.TableDelta) {
	h := n.holder
	homes := make(map[Member]bool)
	for _, e := range d.Servers {
		homes[memberFrom(e.Home)] = true
	}
	for _, s := range d.Services {
		for _, name := range s.ServerNames {
			if e, ok := n.table.servers[name]; ok {
				homes[e.home] = true
			}
		}
	}
	for _, member := range h.sortedMembers() {
		record := h.members[member]
		if !homes[member] || !record.answered || member == n.self || member == n.pair.Successor {
			continue
		}
		table := h.ledger.since(record.generation, record.version, n.table.version, n.table)
		n.send(member, &wire.Control{Body: &wire.Control_HeartbeatReply{HeartbeatReply: &wire.HeartbeatReply{Table: table}}})
	}
}
