package confsim

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Traffic counts messages and their bytes, sent and received.
type Traffic struct {
	// HeartbeatBytes are the bytes of states in heartbeats and their replies.
	HeartbeatBytes   uint64
	ExchangeMessages uint64
	ExchangeBytes    uint64
	// ContentBytes are the bytes of documents and patches.
	ContentBytes uint64
	Pulls        uint64
}

func (t *Traffic) add(m confsync.Message) {
	switch m := m.(type) {
	case confsync.Exchange:
		t.ExchangeMessages++
		t.ExchangeBytes += uint64(confsync.Size(m))
	case confsync.Pull:
		t.Pulls++
		t.ExchangeBytes += uint64(confsync.Size(m))
	case confsync.Content:
		t.ContentBytes += uint64(confsync.Size(m))
	}
}

// Total returns the bytes of all kinds.
func (t *Traffic) Total() uint64 {
	return t.HeartbeatBytes + t.ExchangeBytes + t.ContentBytes
}

// Sum adds other to t.
func (t *Traffic) Sum(other Traffic) {
	t.HeartbeatBytes += other.HeartbeatBytes
	t.ExchangeMessages += other.ExchangeMessages
	t.ExchangeBytes += other.ExchangeBytes
	t.ContentBytes += other.ContentBytes
	t.Pulls += other.Pulls
}

func (n *Network) send(from *Host, send confsync.Send) {
	to := n.byName[send.To]
	from.Traffic.add(send.Message)
	if n.lost(from, to) {
		return
	}
	to.Traffic.add(send.Message)
	n.schedule(to, n.latency(from, to), event{kind: eventMessage, from: from.index, message: send.Message})
}

// lost says whether a message does not arrive.
func (n *Network) lost(from, to *Host) bool {
	if from.group != to.group {
		return true
	}
	return n.options.Lost > 0 && n.random.Float64() < n.options.Lost
}

// latency returns a one-way time between half of and one and a half of the mean.
func (n *Network) latency(a, b *Host) time.Duration {
	mean := latencyRegions
	switch {
	case a.cell.zone == b.cell.zone:
		mean = latencyInZone
	case a.cell.region == b.cell.region:
		mean = latencyInRegion
	}
	return mean/2 + time.Duration(n.random.Int64N(int64(mean)))
}

// heartbeat sends the state of a member to its holder. Heartbeats between equal states change nothing and are left
// out of the run.
func (n *Network) heartbeat(host *Host) {
	holder := host.cell.holder
	if holder == nil || holder == host || !holder.Alive {
		return
	}
	state := host.Node.State()
	size := uint64(state.WireSize() + holder.Node.State().WireSize())
	host.Traffic.HeartbeatBytes += size
	holder.Traffic.HeartbeatBytes += size
	if settled(host, state) && settled(holder, state) {
		return
	}
	if !n.lost(host, holder) {
		n.schedule(holder, n.latency(host, holder), event{kind: eventHeartbeatArrives, from: host.index, state: state})
	}
}

// settled says whether host holds exactly state and has it in force.
func settled(host *Host, state confsync.State) bool {
	return host.Node.State() == state && host.InForce() == host.Node.Held().Version
}

func (n *Network) heartbeatArrives(holder, member *Host, state confsync.State) {
	reply := event{kind: eventHeartbeatReply, from: holder.index, state: holder.Node.State()}
	n.apply(holder, holder.Node.PeerState(n.Now(), member.Name, state))
	if !n.lost(holder, member) {
		n.schedule(member, n.latency(holder, member), reply)
	}
}
