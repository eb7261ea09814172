package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// handoverState is a holder that has stopped and waits for its successor to claim.
type handoverState struct {
	epoch     Epoch
	successor Member
	sentAt    time.Duration
}

// handOver ends the authority of a leaving holder that has no servers left. The successor may claim at once.
func (n *Node) handOver(now time.Duration) {
	h := n.holder
	if !n.leaving || h.installing || h.claim != nil || h.proposal != nil || n.pair.Successor.IsZero() {
		return
	}
	if h.planDue || h.ledger.changed() || h.acked < h.ledger.table.version || now-h.ackedAt > SuspectAfter {
		return
	}
	for _, e := range n.table.servers {
		// A server without a home would wait for the successor, which moves nothing at first (H3).
		if e.home == n.self || e.home.IsZero() {
			return
		}
	}
	if h.ledger.table.moving() {
		return
	}
	h.authorityEnd = min(h.authorityEnd, now)
	n.handover = &handoverState{epoch: n.pair.Epoch, successor: n.pair.Successor, sentAt: now - handoverRetry}
	n.event("cell/handover", "", "successor "+n.pair.Successor.Host+" may claim at once")
	n.demote(now)
	n.tickHandover(now)
}

// tickHandover repeats the handover until a later term is known.
func (n *Node) tickHandover(now time.Duration) {
	if n.handover == nil || now-n.handover.sentAt < handoverRetry {
		return
	}
	n.handover.sentAt = now
	n.sendAs(n.handover.successor, n.handover.epoch, &wire.Control{
		Body: &wire.Control_Handover{Handover: &wire.Handover{}},
	})
}
