package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// probedHost is a gateway of another cell that is a candidate for the arbiter.
type probedHost struct {
	member       Member
	answeredAt   time.Duration
	everAnswered bool
}

// install selects a successor and an arbiter, and sends the successor its installation (A4). A solo holder that reaches
// no arbiter stays solo: with an arbiter that cannot decide, the loss of the successor would stop the holder.
func (n *Node) install(now time.Duration) {
	h := n.holder
	if !n.Acting(now) || now-h.installTriedAt < HeartbeatInterval || h.raisingGeneration {
		return
	}
	h.installTriedAt = now
	for _, successor := range n.pairCandidates(now) {
		if h.members[successor].promised > n.pair.Generation {
			n.raiseGeneration(now, h.members[successor].promised)
			continue
		}
		arbiter, ok := n.chooseArbiter(now, successor.Host)
		if !ok {
			return
		}
		h.tableLog.seal()
		n.pair.Seq++
		n.pair.Successor = successor
		n.pair.Arbiter, n.pair.ArbiterSeq = arbiter, n.pair.Seq
		h.authorityEnd = now + AuthorityLease
		h.installing, h.acknowledgedVersion, h.acknowledgedAt = true, 0, now
		h.renewedAt = now - HeartbeatInterval
		n.snapshotOutdated = true
		n.event("cell/install", "", "successor is "+successor.Host+", arbiter is "+arbiter.Host)
		n.renew(now)
		return
	}
}

// chooseArbiter selects an arbiter: a gateway of the cell, else one of another cell, else the store.
func (n *Node) chooseArbiter(now time.Duration, successor string) (Member, bool) {
	if list := n.pairCandidates(now, successor); len(list) > 0 {
		return list[0], true
	}
	for _, name := range n.hostsOfOtherCells() {
		if p, ok := n.holder.probed[name]; ok && p.everAnswered && now-p.answeredAt < probeMaxAge {
			return p.member, true
		}
	}
	if n.store.alive(now) {
		return Member{Host: StoreArbiter}, true
	}
	return Member{}, false
}

// hostsOfOtherCells returns the hosts of other cells, those in the same availability zone first.
func (n *Node) hostsOfOtherCells() []string {
	var sameZone, otherZones []string
	zone := ""
	if host, ok := n.config.Host(n.self.Host); ok {
		zone = host.Zone
	}
	for _, host := range n.config.Hosts {
		switch {
		case host.Cell == n.cell:
		case host.Zone == zone:
			sameZone = append(sameZone, host.Name)
		default:
			otherZones = append(otherZones, host.Name)
		}
	}
	return append(sameZone, otherZones...)
}

// arbiterAlive reports whether the current arbiter answered recently.
func (n *Node) arbiterAlive(now time.Duration) bool {
	h, arbiter := n.holder, n.pair.Arbiter
	if arbiter.IsStore() {
		return n.store.alive(now)
	}
	if n.isConfigured(arbiter.Host) {
		record, ok := h.members[arbiter]
		return ok && record.live(now) && !record.leaving && !n.stopping(arbiter.Host, now)
	}
	p, ok := h.probed[arbiter.Host]
	return ok && p.everAnswered && p.member == arbiter && now-p.answeredAt < probeMaxAge
}

// replaceArbiter proposes another arbiter while holder and successor can communicate (A6).
func (n *Node) replaceArbiter(now time.Duration) {
	h := n.holder
	if h.proposal != nil || h.installing || h.claim != nil || now-h.acknowledgedAt > SuspectAfter || !n.Acting(now) {
		return
	}
	alive := n.arbiterAlive(now)
	if alive && !h.arbiterMustChange && n.isConfigured(n.pair.Arbiter.Host) {
		return
	}
	choice, ok := n.chooseArbiter(now, n.pair.Successor.Host)
	if !ok || choice == n.pair.Arbiter && !h.arbiterMustChange || alive && !h.arbiterMustChange && !n.isConfigured(choice.Host) {
		return
	}
	h.proposal = &arbiterChoice{arbiter: choice, seq: n.pair.Seq + 1}
	// With a sent version of 0, the renewal that carries the proposal is sent at once.
	h.sentVersion = 0
	n.renew(now)
}

// proposedPair returns the pair that takes effect when the successor acknowledges the proposal.
func (n *Node) proposedPair() Pair {
	p := n.pair
	p.Seq = n.holder.proposal.seq
	p.Arbiter, p.ArbiterSeq = n.holder.proposal.arbiter, n.holder.proposal.seq
	return p
}

// holderArbiters returns the arbiters that must grant a claim of the holder: the current one and, until the successor
// acknowledged it, the proposed one (A6).
func (n *Node) holderArbiters() []arbiterChoice {
	current := arbiterChoice{arbiter: n.pair.Arbiter, seq: n.pair.ArbiterSeq}
	if n.holder.proposal == nil {
		return []arbiterChoice{current}
	}
	if n.faults.askNewArbiterOnly {
		return []arbiterChoice{*n.holder.proposal}
	}
	return []arbiterChoice{current, *n.holder.proposal}
}

// mustReplaceSuccessor reports whether the successor should be replaced although it answers, because it leaves, is near
// a planned stop or is no longer configured. It returns false during an installation, or if there is no other
// candidate.
func (n *Node) mustReplaceSuccessor(now time.Duration) bool {
	h := n.holder
	if h.installing || len(n.pairCandidates(now, n.pair.Successor.Host)) == 0 {
		return false
	}
	record, ok := h.members[n.pair.Successor]
	return ok && record.leaving || n.stopping(n.pair.Successor.Host, now) || !n.isConfigured(n.pair.Successor.Host)
}

// probeArbiters checks whether the store and gateways of other cells are available as arbiter.
func (n *Node) probeArbiters(now time.Duration) {
	h := n.holder
	if now-h.probedAt < probeInterval {
		return
	}
	h.probedAt = now
	if !n.pair.Successor.IsZero() && n.isConfigured(n.pair.Arbiter.Host) && n.arbiterAlive(now) {
		return
	}
	if len(n.pairCandidates(now)) >= 2 {
		return
	}
	if now-n.store.answeredAt >= storeProbeInterval {
		// The result is recorded in n.store; its value does not matter.
		n.storeGet(now, n.claimsKey(), func(time.Duration, StoreResult) {})
	}
	for i, name := range n.hostsOfOtherCells() {
		if i >= maxProbedHosts && name != n.pair.Arbiter.Host {
			continue
		}
		if h.probed[name] == nil {
			h.probed[name] = &probedHost{}
		}
		n.send(Member{Host: name}, &wire.Control{Body: &wire.Control_Probe{Probe: &wire.Probe{}}})
	}
}

func (n *Node) onProbeAnswer(now time.Duration, from Member) {
	if n.holder == nil {
		return
	}
	if p, ok := n.holder.probed[from.Host]; ok {
		p.member, p.answeredAt, p.everAnswered = from, now, true
	}
}
