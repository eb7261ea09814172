package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// successorState is the state of a gateway that takes over if the holder is lost.
type successorState struct {
	// renewedAt is the time at which the last renewal was received.
	renewedAt     time.Duration
	renewSeq      uint64
	claim         *claim
	claimAttempts uint64
	// withdrawn is true if this gateway sent a claim to the current arbiter and then withdrew it. The arbiter may have
	// recorded the claim, so the holder should replace the arbiter.
	withdrawn bool
	// handedOver is true once the holder handed over. The wait of A2 is then not needed.
	handedOver bool
}

// mayClaim reports whether the wait of A2 is over or not needed.
func (s *successorState) mayClaim(now time.Duration, f faults) bool {
	return s.handedOver || f.skipClaimWait || now > s.renewedAt+withDrift(AuthorityLease)
}

// onRenew handles a renewal, or the installation of this gateway as successor (A4).
func (n *Node) onRenew(now time.Duration, from Member, epoch Epoch, r *wire.Renew) {
	if n.isOutdated(epoch) || epoch.Generation < n.promised {
		n.replyLocated(now, from)
		return
	}
	if r.Install {
		n.acceptInstall(now, pairFromWire(r.Pair))
	}
	s := n.successor
	if s == nil || n.pair.Epoch != epoch || n.pair.Holder != from || n.pair.Successor != n.self || s.handedOver {
		return
	}
	if r.Seq <= s.renewSeq && s.claim != nil {
		return
	}
	if s.claim != nil && !n.faults.acknowledgeWhileClaiming {
		s.claim, s.withdrawn = nil, true
	}
	s.renewSeq = max(s.renewSeq, r.Seq)
	s.renewedAt = now
	n.holderLink.receivedAt, n.holderLink.received = now, true
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

// adoptArbiter switches to a proposed arbiter. From then on the successor uses only that one (A6).
func (n *Node) adoptArbiter(r *wire.Renew) {
	if r.Pair == nil || r.Install {
		return
	}
	p := pairFromWire(r.Pair)
	if p.Epoch != n.pair.Epoch || p.Seq <= n.pair.Seq {
		return
	}
	n.pair = p
	n.successor.withdrawn = false
	n.snapshotOutdated = true
}

// onHandover lets the successor claim without the wait of A2, because the holder has ended its own authority.
func (n *Node) onHandover(now time.Duration, from Member, epoch Epoch) {
	if n.successor == nil || n.pair.Epoch != epoch || n.pair.Holder != from {
		n.replyLocated(now, from)
		return
	}
	n.successor.handedOver = true
	n.tickSuccessor(now)
}

// tickSuccessor claims once the lease of the holder has ended.
func (n *Node) tickSuccessor(now time.Duration) {
	s := n.successor
	if s == nil {
		return
	}
	if s.claim == nil && s.mayClaim(now, n.faults) {
		s.claimAttempts++
		s.claim = newClaim(now, n.pair.Epoch, s.claimAttempts)
		n.event("cell/claim", "", "the lease of the holder ended or it handed over")
	}
	n.sendClaim(now)
}
