package confsync

import "time"

// pullState is the pull that waits for its answer.
type pullState struct {
	revision uint64
	until    time.Duration
	// whole is true if the last patch could not be applied.
	whole bool
}

func (n *Node) requestPull(now time.Duration, peer string, revision uint64, out *Output) {
	if revision <= n.pull.revision && now < n.pull.until {
		return
	}
	n.pull.revision = revision
	n.pull.until = now + PullTimeout
	pull := Pull{Have: n.held.Version}
	if n.pull.whole {
		pull.Have = Version{}
	}
	out.send(peer, pull)
}

func (n *Node) receivePull(peer string, m Pull, out *Output) {
	if n.held.Revision <= m.Have.Revision {
		return
	}
	out.send(peer, n.history.content(n.held, m.Have))
}

func (n *Node) receiveContent(now time.Duration, peer string, m Content, out *Output) {
	if m.Version.Revision <= n.held.Revision {
		return
	}
	data := m.Data
	if m.Base.Revision != 0 {
		patched, ok := n.history.apply(n.held, m)
		if !ok {
			out.note(NoteBadPatch, m.Version, m.Base)
			n.pull = pullState{whole: true}
			n.requestPull(now, peer, m.Version.Revision, out)
			return
		}
		n.history.keep(m)
		data = patched
	}
	n.pull = pullState{}
	n.hold(now, Document{Version: m.Version, Bytes: data}, peer, out)
}
