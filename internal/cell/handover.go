package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// handoverState is the state of a former holder that waits for its successor to claim.
type handoverState struct {
	epoch     Epoch
	successor Member
	sentAt    time.Duration
}

// startHandover ends the authority of a leaving holder once it is home of no server and no move is in progress. The
// successor may then claim without waiting.
func (n *Node) startHandover(now time.Duration) {
	h := n.holder
	if !n.leaving || h.installing || h.claim != nil || h.proposal != nil || n.pair.Successor.IsZero() {
		return
	}
	if h.planDue || h.tableLog.hasUnsealedChanges() || h.acknowledgedVersion < h.tableLog.table.version || now-h.acknowledgedAt > SuspectAfter {
		return
	}
	for _, e := range n.table.servers {
		// A server without a home would stay so until the wait of the new holder ends (H3).
		if e.home == n.self || e.home.IsZero() {
			return
		}
	}
	if h.tableLog.table.hasMoveInProgress() {
		return
	}
	h.authorityEnd = min(h.authorityEnd, now)
	n.handover = &handoverState{epoch: n.pair.Epoch, successor: n.pair.Successor, sentAt: now - handoverRetryInterval}
	n.event("cell/handover", "", "successor "+n.pair.Successor.Host+" may claim without waiting")
	n.demote(now)
	n.tickHandover(now)
}

// tickHandover resends the handover until a later term is known.
func (n *Node) tickHandover(now time.Duration) {
	if n.handover == nil || now-n.handover.sentAt < handoverRetryInterval {
		return
	}
	n.handover.sentAt = now
	n.sendAs(n.handover.successor, n.handover.epoch, &wire.Control{
		Body: &wire.Control_Handover{Handover: &wire.Handover{}},
	})
}
