package confsync

import (
	"slices"
	"time"
)

// notifyFanout is the number of neighbours that a gateway notifies immediately about a new document. With two, the loss
// of one neighbour causes no delay.
const notifyFanout = 2

// setHeld replaces the held document if the given one supersedes it. from is the peer that sent it, or "" for the
// store.
func (n *Node) setHeld(now time.Duration, document Document, from string, out *Output) {
	if !n.supersedes(document.Version, from) {
		return
	}
	n.history.add(n.held)
	n.held = document
	n.disputed = false
	n.topologyCurrent = false
	n.replicas = nil
	n.replicaDeadline = now + ReplicationTimeout
	held := document
	out.Held = &held
	if from != "" {
		// The sender may be waiting for this confirmation before it puts the document in force.
		out.send(from, n.newExchange(true))
		n.replicas = append(n.replicas, from)
	}
	if !n.hasReplica() {
		n.notifyNeighbours(out)
	}
}

// supersedes reports whether a document with the given version replaces the held one. The greater revision wins. With
// equal revisions, only a document from the store replaces the held one, and only if the held one is not in force yet.
func (n *Node) supersedes(v Version, from string) bool {
	if v.Revision != n.held.Revision {
		return v.Revision > n.held.Revision
	}
	return from == "" && v.conflictsWith(n.held.Version) && n.inForce.Version != n.held.Version
}

// addReplica records that peer holds the same document as this gateway.
func (n *Node) addReplica(peer string) {
	if n.inForce.Version != n.held.Version && !slices.Contains(n.replicas, peer) {
		n.replicas = append(n.replicas, peer)
	}
}

// hasReplica reports whether a neighbour is known to hold the same document. It is true if there are no neighbours.
func (n *Node) hasReplica() bool {
	if len(n.neighbours) == 0 {
		return true
	}
	for _, peer := range n.replicas {
		if slices.Contains(n.neighbours, peer) {
			return true
		}
	}
	return false
}

func (n *Node) notifyNeighbours(out *Output) {
	count := min(notifyFanout, len(n.neighbours))
	first := 0
	if count > 0 {
		first = n.options.Random(len(n.neighbours))
	}
	for i := range count {
		out.send(n.neighbours[(first+i)%len(n.neighbours)], n.newExchange(false))
	}
}

// stepPutInForce puts the held document in force once a neighbour holds a copy or the deadline has passed.
func (n *Node) stepPutInForce(now time.Duration, out *Output) {
	if n.start.active || !n.topologyCurrent || n.inForce.Version == n.held.Version {
		return
	}
	kind := EventInForce
	if !n.hasReplica() {
		if now < n.replicaDeadline {
			return
		}
		kind = EventInForceUnconfirmed
	}
	out.addEvent(kind, n.held.Version, n.inForce.Version)
	n.inForce = n.held
	n.replicas = nil
	inForce := n.held
	out.InForce = &inForce
}

// handlePeerState pulls the document of a peer with a greater revision, and detects copies and disputes.
func (n *Node) handlePeerState(now time.Duration, peer string, state State, out *Output) {
	switch {
	case state.Revision > n.held.Revision:
		n.requestPull(now, peer, state.Revision, out)
	case state.Revision == n.held.Revision:
		n.handleEqualRevision(state, peer, out)
	}
	n.stepPutInForce(now, out)
}

func (n *Node) handleEqualRevision(state State, peer string, out *Output) {
	same := state.Tag == n.held.Tag()
	if same {
		n.addReplica(peer)
	}
	if !n.disputed && n.held.Revision != 0 && (state.Disputed || !same) {
		n.disputed = true
		out.addEvent(EventDisputed, n.held.Version, Version{Revision: state.Revision})
	}
}
