package confsim

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Traffic counts messages and their bytes, sent and received.
type Traffic struct {
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
	if settled(host, state) && settled(holder, state) {
		return
	}
	if !n.lost(host, holder) {
		n.schedule(holder, n.latency(host, holder), event{kind: eventHeartbeatArrives, from: host.index, state: state})
	}
}

// settled says whether host holds exactly state and has it in force.
func settled(host *Host, state confsync.State) bool {
	return host.Node.State() == state && host.InForce() == state.Version
}

func (n *Network) heartbeatArrives(holder, member *Host, state confsync.State) {
	reply := event{kind: eventHeartbeatReply, from: holder.index, state: holder.Node.State()}
	n.apply(holder, holder.Node.PeerState(n.Now(), member.Name, state))
	if !n.lost(holder, member) {
		n.schedule(member, n.latency(holder, member), reply)
	}
}
