package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// contact is what a gateway knows of its link to the holder.
type contact struct {
	// heardAt is the receive time of the last reply or renewal of the holder.
	heardAt  time.Duration
	heard    bool
	sentAt   time.Duration
	locateAt time.Duration
	// noticedAt is the time of the last answer to a gateway with an outdated term.
	noticedAt time.Duration
	// urgent is true while a report should not wait for the next heartbeat.
	urgent bool
}

// holderLive reports whether the holder answered this gateway recently.
func (n *Node) holderLive(now time.Duration) bool {
	return n.contact.heard && !n.pair.Holder.IsZero() && n.pair.Holder != n.self && now-n.contact.heardAt <= SuspectAfter
}

// rejects reports whether a message of epoch is outdated.
func (n *Node) rejects(epoch Epoch) bool {
	return epoch.Less(n.pair.Epoch) && !n.faults.acceptOldTerms
}

// tickContact sends heartbeats, or asks the cell for the holder.
func (n *Node) tickContact(now time.Duration) {
	n.sendUrgent(now)
	if n.Acting(now) {
		return
	}
	if n.holder == nil && now-n.contact.sentAt >= HeartbeatInterval {
		n.sendHeartbeat(now)
	}
	if n.holderLive(now) || now-n.contact.locateAt < locateInterval {
		return
	}
	n.contact.locateAt = now
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

// notice tells a gateway that used an outdated term which pair is known here.
func (n *Node) notice(now time.Duration, to Member) {
	if n.pair.Generation == 0 || now-n.contact.noticedAt < noticeInterval {
		return
	}
	n.contact.noticedAt = now
	n.send(to, locatedMessage(n.pair))
}

func (n *Node) onLocated(now time.Duration, p Pair) {
	n.adoptPair(now, p)
}

// adoptPair takes note of a newer pair. A gateway that had a part in an older term gives it up; one with a part in
// the same term learns of changes only through the renewals (A6).
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
		n.contact.heard = false
		n.contact.sentAt = now - HeartbeatInterval
	}
	n.pair = p
	n.changed = true
	if n.Role() == RoleStarting {
		n.fire(eventJoin)
	}
	if now-n.contact.sentAt >= HeartbeatInterval {
		n.sendHeartbeat(now)
	}
}

// sendUrgent reports before the next heartbeat. Reports that follow each other closely share one message.
func (n *Node) sendUrgent(now time.Duration) {
	if !n.contact.urgent || now-n.contact.sentAt < urgentInterval {
		return
	}
	n.contact.urgent = false
	if n.Acting(now) {
		n.contact.sentAt = now
		n.selfHeartbeat(now)
		return
	}
	n.sendHeartbeat(now)
}

// sendHeartbeat reports to the holder and asks for a home lease (H1).
func (n *Node) sendHeartbeat(now time.Duration) {
	if n.config == nil || n.holder != nil || n.pair.Holder.IsZero() || n.pair.Holder == n.self {
		return
	}
	n.contact.sentAt = now
	n.send(n.pair.Holder, &wire.Control{Body: &wire.Control_Heartbeat{Heartbeat: n.buildHeartbeat(now)}})
}

func (n *Node) buildHeartbeat(now time.Duration) *wire.Heartbeat {
	hb := &wire.Heartbeat{
		Seq: n.local.nextSeq(now), TableGeneration: n.table.generation, TableVersion: n.table.version,
		PairSeq: n.pair.Seq, Promised: n.promised, Leaving: n.leaving,
	}
	n.local.fill(now, hb, n.table, n.self)
	return hb
}

// onHeartbeatReply takes the table and the home lease. The lease counts from the sending of the heartbeat (H1).
func (n *Node) onHeartbeatReply(now time.Duration, from Member, epoch Epoch, r *wire.HeartbeatReply) {
	if n.holder != nil || n.rejects(epoch) {
		return
	}
	if r.Pair != nil && n.successor == nil {
		n.adoptPair(now, pairFrom(r.Pair))
	}
	if n.pair.Holder != from && !n.faults.acceptOldTerms {
		return
	}
	n.contact.heardAt, n.contact.heard = now, true
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
		n.changed = true
	}
}

// applyTable changes the table of this gateway's traffic.
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
		n.changed = true
		n.local.prune(n.table, n.self)
	}
}
