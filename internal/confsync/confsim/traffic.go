package confsim

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Traffic counts sent and received messages and bytes.
type Traffic struct {
	// HeartbeatBytes counts the bytes of the configuration state in heartbeats and heartbeat replies.
	HeartbeatBytes   uint64
	ExchangeMessages uint64
	ExchangeBytes    uint64
	// ContentBytes counts the bytes of documents and patches.
	ContentBytes uint64
	Pulls        uint64
}

// addMessage counts one message.
func (t *Traffic) addMessage(m confsync.Message) {
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

// Total returns the sum of all bytes.
func (t *Traffic) Total() uint64 {
	return t.HeartbeatBytes + t.ExchangeBytes + t.ContentBytes
}

// Add adds other to t.
func (t *Traffic) Add(other Traffic) {
	t.HeartbeatBytes += other.HeartbeatBytes
	t.ExchangeMessages += other.ExchangeMessages
	t.ExchangeBytes += other.ExchangeBytes
	t.ContentBytes += other.ContentBytes
	t.Pulls += other.Pulls
}

func (n *Network) send(from *Host, send confsync.OutgoingMessage) {
	to := n.byName[send.To]
	from.Traffic.addMessage(send.Message)
	if n.isLost(from, to) {
		return
	}
	to.Traffic.addMessage(send.Message)
	n.schedule(to, n.latency(from, to), event{kind: eventMessage, from: from.index, message: send.Message})
}

// isLost reports whether a message is dropped by a network partition or by random loss.
func (n *Network) isLost(from, to *Host) bool {
	if from.group != to.group {
		return true
	}
	return n.options.MessageLoss > 0 && n.random.Float64() < n.options.MessageLoss
}

// latency returns a random one-way latency between 0.5 and 1.5 times the mean.
func (n *Network) latency(a, b *Host) time.Duration {
	mean := latencyBetweenRegions
	switch {
	case a.cell.zone == b.cell.zone:
		mean = latencyInZone
	case a.cell.region == b.cell.region:
		mean = latencyInRegion
	}
	return mean/2 + time.Duration(n.random.Int64N(int64(mean)))
}

// sendHeartbeat sends the state of a member to its holder. If both have the same state in force, the heartbeat has no
// effect; only its bytes are counted.
func (n *Network) sendHeartbeat(host *Host) {
	holder := host.cell.holder
	if holder == nil || holder == host || !holder.Alive {
		return
	}
	state := host.Node.State()
	size := uint64(state.WireSize() + holder.Node.State().WireSize())
	host.Traffic.HeartbeatBytes += size
	holder.Traffic.HeartbeatBytes += size
	if hasInForce(host, state) && hasInForce(holder, state) {
		return
	}
	if !n.isLost(host, holder) {
		n.schedule(holder, n.latency(host, holder), event{kind: eventHeartbeatReceived, from: host.index, state: state})
	}
}

// hasInForce reports whether the state of host equals state and its held version is in force.
func hasInForce(host *Host, state confsync.State) bool {
	return host.Node.State() == state && host.InForce() == host.Node.Held().Version
}

func (n *Network) receiveHeartbeat(holder, member *Host, state confsync.State) {
	reply := event{kind: eventHeartbeatReply, from: holder.index, state: holder.Node.State()}
	n.apply(holder, holder.Node.HandlePeerState(n.Now(), member.Name, state))
	if !n.isLost(holder, member) {
		n.schedule(member, n.latency(holder, member), reply)
	}
}
