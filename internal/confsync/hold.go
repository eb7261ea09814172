package confsync

import (
	"slices"
	"time"
)

// confirmPeers is the number of neighbours that a gateway tells of a new document at once. Two let the loss of one
// cost no time.
const confirmPeers = 2

// hold takes a document that is newer than the held one. from is the peer that sent it, or "" for the store.
func (n *Node) hold(now time.Duration, document Document, from string, out *Output) {
	if !n.supersedes(document.Version, from) {
		return
	}
	n.history.add(n.held)
	n.held = document
	n.disputed = false
	n.configured = false
	n.copies = nil
	n.confirmDeadline = now + ConfirmWait
	held := document
	out.Held = &held
	if from != "" {
		// The sender waits for this to put the document in force itself.
		out.send(from, n.ownState(true))
		n.copies = append(n.copies, from)
	}
	if !n.confirmed() {
		n.tellNeighbours(out)
	}
}

// supersedes says whether a document with the given version replaces the held one. The revision decides; with equal
// revisions only the store's document replaces one that this gateway has not put in force.
func (n *Node) supersedes(v Version, from string) bool {
	if v.Revision != n.held.Revision {
		return v.Revision > n.held.Revision
	}
	return from == "" && v.conflicts(n.held.Version) && n.inForce.Version != n.held.Version
}

// confirm notes that peer holds the held document too.
func (n *Node) confirm(peer string) {
	if n.inForce.Version != n.held.Version && !slices.Contains(n.copies, peer) {
		n.copies = append(n.copies, peer)
	}
}

// confirmed says whether another gateway of the cell holds the held document too, or there is none.
func (n *Node) confirmed() bool {
	if len(n.neighbours) == 0 {
		return true
	}
	for _, peer := range n.copies {
		if slices.Contains(n.neighbours, peer) {
			return true
		}
	}
	return false
}

func (n *Node) tellNeighbours(out *Output) {
	count := min(confirmPeers, len(n.neighbours))
	first := 0
	if count > 0 {
		first = n.options.Random(len(n.neighbours))
	}
	for i := range count {
		out.send(n.neighbours[(first+i)%len(n.neighbours)], n.ownState(false))
	}
}

// stepShow puts the held document in force once it may.
func (n *Node) stepShow(now time.Duration, out *Output) {
	if n.start.active || !n.configured || n.inForce.Version == n.held.Version {
		return
	}
	kind := NoteInForce
	if !n.confirmed() {
		if now < n.confirmDeadline {
			return
		}
		kind = NoteUnconfirmed
	}
	out.note(kind, n.held.Version, n.inForce.Version)
	n.inForce = n.held
	n.copies = nil
	shown := n.held
	out.InForce = &shown
}

// learnState takes the state of a peer into account.
func (n *Node) learnState(now time.Duration, peer string, state State, out *Output) {
	switch {
	case state.Revision > n.held.Revision:
		n.requestPull(now, peer, state.Revision, out)
	case state.Revision == n.held.Revision:
		n.learnEqual(state, peer, out)
	}
	n.stepShow(now, out)
}

func (n *Node) learnEqual(state State, peer string, out *Output) {
	same := state.Tag == n.held.Tag()
	if same {
		n.confirm(peer)
	}
	if !n.disputed && n.held.Revision != 0 && (state.Disputed || !same) {
		n.disputed = true
		out.note(NoteDisputed, n.held.Version, Version{Revision: state.Revision})
	}
}
