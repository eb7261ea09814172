package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// holderState is the state of the gateway that decides ownership in the cell.
type holderState struct {
	tableLog *tableLog
	// tokenSeq is the sequence number of the last fencing token of the term.
	tokenSeq uint64
	// authorityEnd is the end of the lease of A1. It is noExpiry for a solo holder that has not installed a successor.
	authorityEnd time.Duration
	// committedVersion is the version through which changes may be published.
	committedVersion uint64

	// State of the renewals to the successor.
	renewSeq            uint64
	renewSent           map[uint64]time.Duration
	renewedAt           time.Duration
	acknowledgedAt      time.Duration
	acknowledgedVersion uint64
	sentVersion         uint64
	installing          bool
	installTriedAt      time.Duration

	// proposal is a proposed arbiter that the successor has not acknowledged (A6).
	proposal *arbiterChoice
	// arbiterMustChange is true while the register of the arbiter may hold a claim that the successor withdrew (A3).
	arbiterMustChange bool
	probed            map[string]*probedHost
	probedAt          time.Duration

	claim         *claim
	claimAttempts uint64

	members map[Member]*memberRecord
	// noMoveUntil is the end of the wait for home leases of a predecessor (H3). noLeaseUntil is the end of the wait
	// after a recovery (A8).
	noMoveUntil   time.Duration
	noLeaseUntil  time.Duration
	lapses        map[unit]lapse
	desired       map[string]*desiredOwners
	partitionLoad map[string][]float64
	keyLoad       map[unit]keyLoadReport
	serverLoad    map[string]float64
	// draining holds, by server, whether its home last reported it as draining.
	draining     map[string]bool
	rights       map[string]*rightsState
	planDue      bool
	plannedAt    time.Duration
	syncedAt     time.Duration
	replanAt     time.Duration
	placedConfig *config.Config
	placements   map[string]*config.Placement

	recordWrite recordWriteState
	tableWrite  tableWriteState
	// raisingGeneration is true while the generation is being raised. No successor is installed meanwhile.
	raisingGeneration bool
}

func newHolderState(now time.Duration, t *table) *holderState {
	return &holderState{
		tableLog:         newTableLog(t),
		authorityEnd:     noExpiry,
		committedVersion: t.version,
		renewSent:        make(map[uint64]time.Duration),
		members:          make(map[Member]*memberRecord),
		probed:           make(map[string]*probedHost),
		lapses:           make(map[unit]lapse),
		desired:          make(map[string]*desiredOwners),
		partitionLoad:    make(map[string][]float64),
		keyLoad:          make(map[unit]keyLoadReport),
		serverLoad:       make(map[string]float64),
		draining:         make(map[string]bool),
		rights:           make(map[string]*rightsState),
		planDue:          true,
		acknowledgedAt:   now,
		tableWrite:       tableWriteState{writtenAt: now - tableWriteInterval},
	}
}

// winClaim makes this gateway the sole authority of the next term (A3).
func (n *Node) winClaim(now time.Duration) {
	epoch := Epoch{Generation: n.pair.Generation, Term: n.pair.Term + 1}
	if n.holder == nil {
		n.holder = n.takeOver(now)
	}
	n.successor = nil
	n.promote(now, epoch)
}

// takeOver builds the holder state of a successor from its copy of the table. The predecessor may have renewed home
// leases until its authority ended, which was before now (A2).
func (n *Node) takeOver(now time.Duration) *holderState {
	h := newHolderState(now, n.table)
	end := now + withDrift(HomeLease)
	for _, name := range h.tableLog.table.serverNames() {
		home := h.tableLog.table.servers[name].home
		if !home.IsZero() {
			h.members[home] = &memberRecord{leaseEnd: end, lastSeenAt: now}
		}
	}
	h.noMoveUntil = end + MaxClockSkew
	if n.faults.skipHomeLeaseWait {
		h.noMoveUntil = now
	}
	return h
}

// promote makes this gateway the sole authority of epoch. It is called after a claim was granted or the generation was
// written.
func (n *Node) promote(now time.Duration, epoch Epoch) {
	h := n.holder
	n.pair = Pair{Epoch: epoch, Seq: 1, Holder: n.self}
	h.authorityEnd = noExpiry
	h.claim, h.proposal, h.arbiterMustChange = nil, nil, false
	h.installing = false
	h.tokenSeq = 0
	h.renewSent = make(map[uint64]time.Duration)
	h.installTriedAt = now - HeartbeatInterval
	h.planDue = true
	n.holderLink = holderLink{receivedAt: now}
	n.handover = nil
	n.fire(eventWin)
	n.event("cell/holder-changed", "", "this gateway is the sole authority of the next term")
	n.sendToCell(func() *wire.Control { return locatedMessage(n.pair) })
	n.selfHeartbeat(now)
}

// tickHolder renews the lease, claims, installs a successor, replaces the arbiter, and plans moves, as far as each is
// due.
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
	n.startHandover(now)
}

// renew sends a renewal to the successor if one is due. It does so after the end of the lease as well, because an
// acknowledgement shows that the successor has not claimed.
func (n *Node) renew(now time.Duration) {
	h := n.holder
	version := h.tableLog.table.version
	if now-h.renewedAt < HeartbeatInterval && h.sentVersion >= version {
		return
	}
	h.renewedAt = now
	h.sentVersion = version
	h.renewSeq++
	h.renewSent[h.renewSeq] = now
	delete(h.renewSent, h.renewSeq-sendTimesKept)
	body := &wire.Renew{Seq: h.renewSeq, Install: h.installing}
	if h.installing {
		body.Pair = n.pair.toWire()
		body.Table = h.tableLog.table.wholeDelta()
	} else {
		body.Table = h.tableLog.deltaSince(h.tableLog.table.generation, h.acknowledgedVersion, version, h.tableLog.table)
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
	h.acknowledgedAt = now
	h.acknowledgedVersion = max(h.acknowledgedVersion, min(a.TableVersion, h.tableLog.table.version))
	if h.proposal != nil && a.ArbiterSeq == h.proposal.seq {
		n.pair = n.proposedPair()
		h.proposal, h.arbiterMustChange = nil, false
		n.snapshotOutdated = true
		n.event("cell/arbiter-changed", "", "arbiter is "+n.pair.Arbiter.Host)
	}
	if a.Withdrawn && a.ArbiterSeq == n.pair.ArbiterSeq {
		h.arbiterMustChange = true
	}
}

// claimTerm starts a claim when the successor is silent or must be replaced, and resends it until it is decided (A5).
func (n *Node) claimTerm(now time.Duration) {
	h := n.holder
	if h.claim == nil && (now-h.acknowledgedAt > SuspectAfter || n.mustReplaceSuccessor(now)) {
		h.claimAttempts++
		h.claim = newClaim(now, n.pair.Epoch, h.claimAttempts)
		n.event("cell/claim", "", "the successor is silent or must be replaced")
	}
	n.sendClaim(now)
}

// commitAndPublish seals changes, commits those that may be committed, and publishes them to local traffic.
func (n *Node) commitAndPublish(now time.Duration) {
	h := n.holder
	if !n.Acting(now) {
		return
	}
	h.tableLog.seal()
	if n.pair.Successor.IsZero() {
		h.committedVersion = h.tableLog.table.version
	} else {
		h.committedVersion = max(h.committedVersion, h.acknowledgedVersion)
		if n.faults.publishUnacknowledged {
			h.committedVersion = h.tableLog.table.version
		}
		n.acknowledged = max(n.acknowledged, h.acknowledgedVersion)
		if h.sentVersion < h.tableLog.table.version {
			n.renew(now)
		}
	}
	n.publish()
}

// publish updates the table that local traffic reads to the committed version.
func (n *Node) publish() {
	h := n.holder
	t := h.tableLog.table
	if n.table.generation == t.generation && n.table.version >= h.committedVersion {
		return
	}
	if n.table.generation == t.generation && n.table.version >= h.tableLog.baseVersion {
		d := h.tableLog.deltaSince(t.generation, n.table.version, h.committedVersion, nil)
		n.applyTable(d)
		n.pushTable(d)
		return
	}
	if h.committedVersion == t.version {
		n.applyTable(t.wholeDelta())
	}
}

// pushTable sends the table at once to the homes that d concerns, so that a move does not wait for their next
// heartbeat.
func (n *Node) pushTable(d *wire.TableDelta) {
	h := n.holder
	homes := make(map[Member]bool)
	for _, e := range d.Servers {
		homes[memberFromWire(e.Home)] = true
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
		if !homes[member] || !record.heartbeatReceived || member == n.self || member == n.pair.Successor {
			continue
		}
		table := h.tableLog.deltaSince(record.generation, record.version, n.table.version, n.table)
		n.send(member, &wire.Control{Body: &wire.Control_HeartbeatReply{HeartbeatReply: &wire.HeartbeatReply{Table: table}}})
	}
}
