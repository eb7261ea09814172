package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// probedHost is a gateway of another cell that could be the arbiter.
type probedHost struct {
	member     Member
	answeredAt time.Duration
	answered   bool
}

// install appoints a successor and an arbiter (A4). A solo holder without a reachable arbiter stays solo: with an
// arbiter that cannot decide, the loss of the successor would stop it.
func (n *Node) install(now time.Duration) {
	h := n.holder
	if !n.Acting(now) || now-h.triedAt < HeartbeatInterval || h.raising {
		return
	}
	h.triedAt = now
	for _, successor := range n.candidates(now) {
		if h.members[successor].promised > n.pair.Generation {
			n.raise(now, h.members[successor].promised)
			continue
		}
		arbiter, ok := n.chooseArbiter(now, successor.Host)
		if !ok {
			return
		}
		h.ledger.seal()
		n.pair.Seq++
		n.pair.Successor = successor
		n.pair.Arbiter, n.pair.ArbiterSeq = arbiter, n.pair.Seq
		h.authorityEnd = now + AuthorityLease
		h.installing, h.acked, h.ackedAt = true, 0, now
		h.renewedAt = now - HeartbeatInterval
		n.changed = true
		n.event("cell/install", "", "successor is "+successor.Host+", arbiter is "+arbiter.Host)
		n.renew(now)
		return
	}
}

// chooseArbiter prefers a gateway of the cell, then one of another cell, then the store.
func (n *Node) chooseArbiter(now time.Duration, successor string) (Member, bool) {
	if list := n.candidates(now, successor); len(list) > 0 {
		return list[0], true
	}
	for _, name := range n.foreignHosts() {
		if p, ok := n.holder.probed[name]; ok && p.answered && now-p.answeredAt < probeFresh {
			return p.member, true
		}
	}
	if n.store.alive(now) {
		return Member{Host: StoreArbiter}, true
	}
	return Member{}, false
}

// foreignHosts returns gateways of other cells, those of the own zone first.
func (n *Node) foreignHosts() []string {
	var near, far []string
	zone := ""
	if host, ok := n.config.Host(n.self.Host); ok {
		zone = host.Zone
	}
	for _, host := range n.config.Hosts {
		switch {
		case host.Cell == n.cell:
		case host.Zone == zone:
			near = append(near, host.Name)
		default:
			far = append(far, host.Name)
		}
	}
	return append(near, far...)
}

// arbiterAlive reports whether the arbiter in use answered recently.
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
	return ok && p.answered && p.member == arbiter && now-p.answeredAt < probeFresh
}

// replaceArbiter proposes another arbiter while holder and successor communicate (A6).
func (n *Node) replaceArbiter(now time.Duration) {
	h := n.holder
	if h.proposal != nil || h.installing || h.claim != nil || now-h.ackedAt > SuspectAfter || !n.Acting(now) {
		return
	}
	alive := n.arbiterAlive(now)
	if alive && !h.poisoned && n.isConfigured(n.pair.Arbiter.Host) {
		return
	}
	choice, ok := n.chooseArbiter(now, n.pair.Successor.Host)
	if !ok || choice == n.pair.Arbiter && !h.poisoned || alive && !h.poisoned && !n.isConfigured(choice.Host) {
		return
	}
	h.proposal = &arbiterChoice{arbiter: choice, seq: n.pair.Seq + 1}
	h.sentUpTo = 0
	n.renew(now)
}

// proposedPair is the pair once the successor acknowledged the proposal.
func (n *Node) proposedPair() Pair {
	p := n.pair
	p.Seq = n.holder.proposal.seq
	p.Arbiter, p.ArbiterSeq = n.holder.proposal.arbiter, n.holder.proposal.seq
	return p
}

// holderArbiters returns the arbiters that must grant the holder's claim: the one in use, and a proposed one until
// the successor acknowledged it (A6).
func (n *Node) holderArbiters() []arbiterChoice {
	current := arbiterChoice{arbiter: n.pair.Arbiter, seq: n.pair.ArbiterSeq}
	if n.holder.proposal == nil {
		return []arbiterChoice{current}
	}
	if n.faults.newArbiterOnly {
		return []arbiterChoice{*n.holder.proposal}
	}
	return []arbiterChoice{current, *n.holder.proposal}
}

// successorUnwanted reports whether the successor should be replaced although it answers.
func (n *Node) successorUnwanted(now time.Duration) bool {
	h := n.holder
	if h.installing || len(n.candidates(now, n.pair.Successor.Host)) == 0 {
		return false
	}
	record, ok := h.members[n.pair.Successor]
	return ok && record.leaving || n.stopping(n.pair.Successor.Host, now) || !n.isConfigured(n.pair.Successor.Host)
}

// probeArbiters learns which gateways of other cells, or whether the store, could be the arbiter.
func (n *Node) probeArbiters(now time.Duration) {
	h := n.holder
	if now-h.probeAt < probeInterval {
		return
	}
	h.probeAt = now
	if !n.pair.Successor.IsZero() && n.isConfigured(n.pair.Arbiter.Host) && n.arbiterAlive(now) {
		return
	}
	if len(n.candidates(now)) >= 2 {
		return
	}
	if now-n.store.answeredAt >= storeProbeInterval {
		n.storeGet(now, n.claimsKey(), func(time.Duration, StoreResult) {})
	}
	for i, name := range n.foreignHosts() {
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
		p.member, p.answeredAt, p.answered = from, now, true
	}
}
