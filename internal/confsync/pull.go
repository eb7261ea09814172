package confsync

import "time"

// pullState describes the pull in progress.
type pullState struct {
	revision uint64
	retryAt  time.Duration
	// requestFull is true if the last patch could not be applied, so that the full document is needed.
	requestFull bool
}

func (n *Node) requestPull(now time.Duration, peer string, revision uint64, out *Output) {
	if revision <= n.pull.revision && now < n.pull.retryAt {
		return
	}
	n.pull.revision = revision
	n.pull.retryAt = now + PullTimeout
	pull := Pull{Have: n.held.Version}
	if n.pull.requestFull {
		pull.Have = Version{}
	}
	out.send(peer, pull)
}

func (n *Node) receivePull(peer string, m Pull, out *Output) {
	if n.held.Revision <= m.Have.Revision {
		return
	}
	out.send(peer, n.history.contentFor(n.held, m.Have))
}

func (n *Node) receiveContent(now time.Duration, peer string, m Content, out *Output) {
	if m.Version.Revision <= n.held.Revision {
		return
	}
	data := m.Data
	if m.Base.Revision != 0 {
		patched, ok := n.history.applyPatch(n.held, m)
		if !ok {
			out.addEvent(EventBadPatch, m.Version, m.Base)
			n.pull = pullState{requestFull: true}
			n.requestPull(now, peer, m.Version.Revision, out)
			return
		}
		n.history.cachePatch(m)
		data = patched
	}
	n.pull = pullState{}
	n.setHeld(now, Document{Version: m.Version, Bytes: data}, peer, out)
}
