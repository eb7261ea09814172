package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// claim is an attempt of the holder or successor to become the sole authority of the next term (A3).
type claim struct {
	epoch   Epoch
	attempt uint64
	since   time.Duration
	sentAt  time.Duration
	// granted holds the arbiters, by the seq of their choice, that decided for this gateway.
	granted map[uint64]bool
}

// arbiterChoice is an arbiter whose decision a claim needs.
type arbiterChoice struct {
	arbiter Member
	seq     uint64
}

func newClaim(now time.Duration, epoch Epoch, attempt uint64) *claim {
	return &claim{epoch: epoch, attempt: attempt, since: now, sentAt: -claimRetry, granted: make(map[uint64]bool)}
}

// currentClaim returns the claim of this gateway and the arbiters that must grant it, or nil.
func (n *Node) currentClaim() (*claim, []arbiterChoice) {
	switch {
	case n.holder != nil && n.holder.claim != nil:
		return n.holder.claim, n.holderArbiters()
	case n.successor != nil && n.successor.claim != nil:
		return n.successor.claim, []arbiterChoice{{arbiter: n.pair.Arbiter, seq: n.pair.ArbiterSeq}}
	}
	return nil, nil
}

// sendClaim asks the arbiters that have not decided yet.
func (n *Node) sendClaim(now time.Duration) {
	c, arbiters := n.currentClaim()
	if c == nil || now-c.sentAt < claimRetry {
		return
	}
	c.sentAt = now
	for _, a := range arbiters {
		if c.granted[a.seq] {
			continue
		}
		if a.arbiter.IsStore() {
			n.claimInStore(now, c.epoch, a.seq, c.attempt)
			continue
		}
		n.sendAs(a.arbiter, c.epoch, &wire.Control{Body: &wire.Control_Claim{
			Claim: &wire.Claim{Cell: n.cell, ArbiterSeq: a.seq, Attempt: c.attempt},
		}})
	}
}

func (n *Node) onDecision(now time.Duration, from Member, epoch Epoch, d *wire.Decision) {
	n.decided(now, from, epoch, d.ArbiterSeq, d.Attempt, memberFrom(d.Winner))
}

// decided takes the decision of one arbiter on the current claim.
func (n *Node) decided(now time.Duration, from Member, epoch Epoch, seq, attempt uint64, winner Member) {
	c, arbiters := n.currentClaim()
	if c == nil || c.epoch != epoch || c.attempt != attempt {
		return
	}
	missing := 0
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
			missing++
		}
	}
	if missing == 0 {
		n.win(now)
	}
}

func (n *Node) loseClaim(now time.Duration, winner Member) {
	n.event("cell/claim-lost", "", "another gateway claimed first: "+winner.Host)
	n.demote(now)
}

// demote gives up all parts of the authority. The published table stays for a recovery.
func (n *Node) demote(now time.Duration) {
	if n.holder != nil {
		n.local.leaseEnd = min(n.local.leaseEnd, n.holder.authorityEnd)
	}
	n.holder, n.successor = nil, nil
	n.contact.locateAt = now - locateInterval
	n.fire(eventDemote)
}
