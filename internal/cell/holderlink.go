package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// holderLink is the state of the connection from this gateway to the holder.
type holderLink struct {
	// receivedAt is the time at which the last reply or renewal of the holder was received.
	receivedAt   time.Duration
	received     bool
	sentAt       time.Duration
	locateSentAt time.Duration
	// locatedReplyAt is the time of the last reply to a gateway with an outdated term.
	locatedReplyAt time.Duration
	// reportDue is true while a report should be sent before the next heartbeat.
	reportDue bool
}

// holderLive reports whether a message of the holder was received within SuspectAfter.
func (n *Node) holderLive(now time.Duration) bool {
	return n.holderLink.received && !n.pair.Holder.IsZero() && n.pair.Holder != n.self && now-n.holderLink.receivedAt <= SuspectAfter
}

// isOutdated reports whether a message of epoch must be ignored because a later epoch is known.
func (n *Node) isOutdated(epoch Epoch) bool {
	return epoch.Less(n.pair.Epoch) && !n.faults.acceptOldTerms
}

// tickHolderLink sends heartbeats to the holder, or Locate messages to the cell while no holder is live.
func (n *Node) tickHolderLink(now time.Duration) {
	n.sendUrgent(now)
	if n.Acting(now) {
		return
	}
	if n.holder == nil && now-n.holderLink.sentAt >= HeartbeatInterval {
		n.sendHeartbeat(now)
	}
	if n.holderLive(now) || now-n.holderLink.locateSentAt < locateInterval {
		return
	}
	n.holderLink.locateSentAt = now
	n.sendToCell(func() *wire.Control { return &wire.Control{Body: &wire.Control_Locate{Locate: &wire.Locate{}}} })
}

func locatedMessage(p Pair) *wire.Control {
	return &wire.Control{Body: &wire.Control_Located{Located: &wire.Located{Pair: p.toWire()}}}
}

func (n *Node) onLocate(from Member) {
	if n.pair.Generation > 0 {
		n.send(Member{Host: from.Host}, locatedMessage(n.pair))
	}
}

// replyLocated sends the newest known pair to a gateway that used an outdated term.
func (n *Node) replyLocated(now time.Duration, to Member) {
	if n.pair.Generation == 0 || now-n.holderLink.locatedReplyAt < locatedReplyInterval {
		return
	}
	n.holderLink.locatedReplyAt = now
	n.send(to, locatedMessage(n.pair))
}

func (n *Node) onLocated(now time.Duration, p Pair) {
	n.adoptPair(now, p)
}

// adoptPair records a newer pair. A gateway that is holder or successor of an older term gives up that role. One that
// has a role in the same term learns of changes only through renewals (A6).
func (n *Node) adoptPair(now time.Duration, p Pair) {
	if !p.newer(n.pair) || p.Holder == n.self {
		return
	}
	if p.Epoch == n.pair.Epoch && (n.holder != nil || n.successor != nil) {
		return
	}
	if n.pair.Epoch.Less(p.Epoch) {
		if n.holder != nil || n.successor != nil {
			n.event("cell/demoted", "", "holder is "+p.Holder.Host)
			n.demote(now)
		}
		n.handover = nil
		n.recovery.abandon()
	}
	if n.pair.Holder != p.Holder {
		n.holderLink.received = false
		n.holderLink.sentAt = now - HeartbeatInterval
	}
	n.pair = p
	n.snapshotOutdated = true
	if n.Role() == RoleStarting {
		n.fire(eventJoin)
	}
	if now-n.holderLink.sentAt >= HeartbeatInterval {
		n.sendHeartbeat(now)
	}
}

// sendUrgent sends an urgent report before the next heartbeat. Reports within urgentReportInterval share one message.
func (n *Node) sendUrgent(now time.Duration) {
	if !n.holderLink.reportDue || now-n.holderLink.sentAt < urgentReportInterval {
		return
	}
	n.holderLink.reportDue = false
	if n.Acting(now) {
		n.holderLink.sentAt = now
		n.selfHeartbeat(now)
		return
	}
	n.sendHeartbeat(now)
}

// sendHeartbeat sends the local reports to the holder and requests a home lease (H1).
func (n *Node) sendHeartbeat(now time.Duration) {
	if n.config == nil || n.holder != nil || n.pair.Holder.IsZero() || n.pair.Holder == n.self {
		return
	}
	n.holderLink.sentAt = now
	n.send(n.pair.Holder, &wire.Control{Body: &wire.Control_Heartbeat{Heartbeat: n.buildHeartbeat(now)}})
}

func (n *Node) buildHeartbeat(now time.Duration) *wire.Heartbeat {
	hb := &wire.Heartbeat{
		Seq: n.local.nextSeq(now), TableGeneration: n.table.generation, TableVersion: n.table.version,
		PairSeq: n.pair.Seq, Promised: n.promised, Leaving: n.leaving,
	}
	n.local.fillHeartbeat(now, hb, n.table, n.self)
	return hb
}

// onHeartbeatReply applies the table and the home lease of a reply. The lease counts from when the heartbeat was sent
// (H1).
func (n *Node) onHeartbeatReply(now time.Duration, from Member, epoch Epoch, r *wire.HeartbeatReply) {
	if n.holder != nil || n.isOutdated(epoch) {
		return
	}
	if r.Pair != nil && n.successor == nil {
		n.adoptPair(now, pairFromWire(r.Pair))
	}
	if n.pair.Holder != from && !n.faults.acceptOldTerms {
		return
	}
	n.holderLink.receivedAt, n.holderLink.received = now, true
	n.applyTable(r.Table)
	if n.successor == nil {
		n.acknowledged = n.table.version
		if r.Acknowledged > 0 {
			n.acknowledged = min(n.acknowledged, r.Acknowledged-1)
		}
	}
	sent, ok := n.local.sentAt(r.Seq)
	if !ok || !r.Lease || n.table.generation < epoch.Generation {
		return
	}
	if n.faults.leaseFromReceipt {
		sent = now
	}
	if end := sent + HomeLease; end > n.local.leaseEnd {
		n.local.leaseEnd = end
		n.snapshotOutdated = true
	}
}

// applyTable updates the table that local traffic reads.
func (n *Node) applyTable(d *wire.TableDelta) {
	if d == nil {
		return
	}
	if n.faults.acceptOldTerms && d.Whole {
		n.table.generation, n.table.version = 0, 0
	}
	changed, err := n.table.apply(d)
	if err != nil {
		n.event("cell/delta-refused", "", err.Error())
		return
	}
	if changed {
		n.snapshotOutdated = true
		n.local.prune(n.table, n.self)
	}
}
