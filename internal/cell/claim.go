package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// claim is an attempt of the holder or successor to become the sole authority of the next term (A3).
type claim struct {
	epoch       Epoch
	attempt     uint64
	startedAt   time.Duration
	sentAt      time.Duration
	storeSentAt time.Duration
	// granted holds the arbiters that decided for this gateway, by arbiterChoice.seq.
	granted map[uint64]bool
}

// arbiterChoice is an arbiter from which a claim needs a decision. seq is the Pair.ArbiterSeq that belongs to it.
type arbiterChoice struct {
	arbiter Member
	seq     uint64
}

func newClaim(now time.Duration, epoch Epoch, attempt uint64) *claim {
	return &claim{
		epoch: epoch, attempt: attempt, startedAt: now,
		sentAt: now - claimRetryInterval, storeSentAt: now - storeClaimRetryInterval,
		granted: make(map[uint64]bool),
	}
}

// currentClaim returns the claim of this gateway, or nil, and the arbiters that must grant it.
func (n *Node) currentClaim() (*claim, []arbiterChoice) {
	switch {
	case n.holder != nil && n.holder.claim != nil:
		return n.holder.claim, n.holderArbiters()
	case n.successor != nil && n.successor.claim != nil:
		return n.successor.claim, []arbiterChoice{{arbiter: n.pair.Arbiter, seq: n.pair.ArbiterSeq}}
	}
	return nil, nil
}

// sendClaim sends the current claim to each arbiter that has not granted it yet.
func (n *Node) sendClaim(now time.Duration) {
	c, arbiters := n.currentClaim()
	if c == nil || now-c.sentAt < claimRetryInterval {
		return
	}
	c.sentAt = now
	for _, a := range arbiters {
		if c.granted[a.seq] {
			continue
		}
		if a.arbiter.IsStore() {
			if now-c.storeSentAt < storeClaimRetryInterval {
				continue
			}
			c.storeSentAt = now
			n.claimInStore(now, c.epoch, a.seq, c.attempt)
			continue
		}
		n.sendAs(a.arbiter, c.epoch, &wire.Control{Body: &wire.Control_Claim{
			Claim: &wire.Claim{Cell: n.cell, ArbiterSeq: a.seq, Attempt: c.attempt},
		}})
	}
}

func (n *Node) onDecision(now time.Duration, from Member, epoch Epoch, d *wire.Decision) {
	n.applyDecision(now, from, epoch, d.ArbiterSeq, d.Attempt, memberFromWire(d.Winner))
}

// applyDecision applies the decision of one arbiter to the current claim. The claim is won once every arbiter granted
// it.
func (n *Node) applyDecision(now time.Duration, from Member, epoch Epoch, seq, attempt uint64, winner Member) {
	c, arbiters := n.currentClaim()
	if c == nil || c.epoch != epoch || c.attempt != attempt {
		return
	}
	undecided := 0
	for _, a := range arbiters {
		if a.arbiter == from && a.seq == seq {
			switch winner {
			case n.self:
				c.granted[seq] = true
			case Member{}:
				return
			default:
				n.loseClaim(now, winner)
				return
			}
		}
		if !c.granted[a.seq] {
			undecided++
		}
	}
	if undecided == 0 {
		n.winClaim(now)
	}
}

func (n *Node) loseClaim(now time.Duration, winner Member) {
	n.event("cell/claim-lost", "", "another gateway claimed first: "+winner.Host)
	n.demote(now)
}

// demote drops the roles of holder and successor. The published table is kept for a recovery.
func (n *Node) demote(now time.Duration) {
	if n.holder != nil {
		n.local.leaseEnd = min(n.local.leaseEnd, n.holder.authorityEnd)
	}
	n.holder, n.successor = nil, nil
	n.holderLink.locateSentAt = now - locateInterval
	n.fire(eventDemote)
}
