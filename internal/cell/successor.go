package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// successorState is the part of a gateway that takes over from the holder.
type successorState struct {
	// renewedAt is the receive time of the last renewal.
	renewedAt time.Duration
	renewSeq  uint64
	claim     *claim
	attempts  uint64
	// withdrawn is true if a claim was sent to the arbiter in use and is no longer pursued. The arbiter may have
	// recorded it, so the holder should choose another register.
	withdrawn bool
	// released is true once the holder handed over; the wait of A2 is then not needed.
	released bool
}

// mayClaim reports whether the wait of A2 is over.
func (s *successorState) mayClaim(now time.Duration, f faults) bool {
	return s.released || f.claimAtOnce || now > s.renewedAt+withDrift(AuthorityLease)
}

// onRenew handles a renewal, or the appointment of this gateway as successor (A4).
func (n *Node) onRenew(now time.Duration, from Member, epoch Epoch, r *wire.Renew) {
	if n.rejects(epoch) || epoch.Generation < n.promised {
		n.notice(now, from)
		return
	}
	if r.Install {
		n.acceptInstall(now, pairFrom(r.Pair))
	}
	s := n.successor
	if s == nil || n.pair.Epoch != epoch || n.pair.Holder != from || n.pair.Successor != n.self || s.released {
		return
	}
	if r.Seq <= s.renewSeq && s.claim != nil {
		return
	}
	if s.claim != nil && !n.faults.ackAfterClaim {
		s.claim, s.withdrawn = nil, true
	}
	s.renewSeq = max(s.renewSeq, r.Seq)
	s.renewedAt = now
	n.contact.heardAt, n.contact.heard = now, true
	n.adoptArbiter(r)
	n.applyTable(r.Table)
	n.acknowledged = n.table.version
	n.sendAs(from, epoch, &wire.Control{Body: &wire.Control_RenewAck{RenewAck: &wire.RenewAck{
		Seq: r.Seq, TableVersion: n.table.version, ArbiterSeq: n.pair.ArbiterSeq, Withdrawn: s.withdrawn,
	}}})
}

func (n *Node) acceptInstall(now time.Duration, p Pair) {
	if n.successor != nil && n.pair.Epoch == p.Epoch || p.Successor != n.self {
		return
	}
	n.adoptPair(now, p)
	if n.holder != nil || n.pair.Epoch != p.Epoch || p.Seq < n.pair.Seq {
		return
	}
	n.fire(eventInstall)
	n.successor = &successorState{renewedAt: now}
	n.event("cell/successor-installed", "", "holder is "+p.Holder.Host)
}

// adoptArbiter switches to a proposed arbiter. From here on the successor uses only that one (A6).
func (n *Node) adoptArbiter(r *wire.Renew) {
	if r.Pair == nil || r.Install {
		return
	}
	p := pairFrom(r.Pair)
	if p.Epoch != n.pair.Epoch || p.Seq <= n.pair.Seq {
		return
	}
	n.pair = p
	n.successor.withdrawn = false
	n.changed = true
}

// onHandover lets the successor claim at once, because the holder has stopped.
func (n *Node) onHandover(now time.Duration, from Member, epoch Epoch) {
	if n.successor == nil || n.pair.Epoch != epoch || n.pair.Holder != from {
		n.notice(now, from)
		return
	}
	n.successor.released = true
	n.tickSuccessor(now)
}

// tickSuccessor claims when the holder's lease is over.
func (n *Node) tickSuccessor(now time.Duration) {
	s := n.successor
	if s == nil {
		return
	}
	if s.claim == nil && s.mayClaim(now, n.faults) {
		s.attempts++
		s.claim = newClaim(now, n.pair.Epoch, s.attempts)
		n.event("cell/claim", "", "holder is silent or left")
	}
	n.sendClaim(now)
}
