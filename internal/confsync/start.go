package confsync

import (
	"maps"
	"slices"
	"time"
)

// startState is the state of a starting gateway while it determines the greatest revision.
type startState struct {
	active    bool
	deadline  time.Duration
	nextQuery time.Duration
	// responded records for each queried peer whether it has responded.
	responded map[string]bool
	// peerRevision is the greatest revision that a peer has reported.
	peerRevision uint64
	// storeResponded is true once the store has responded.
	storeResponded bool
	// storeConfirmed is true once a successful write has shown that the value read from the store is not stale.
	storeConfirmed bool
	confirmAt      time.Duration
}

// Start begins to determine the greatest revision. Seeds are hosts that probably run a gateway of the team.
func (n *Node) Start(now time.Duration, seeds []string) Output {
	var out Output
	n.start = startState{active: true, deadline: now + StartTimeout, responded: make(map[string]bool)}
	n.addStartPeers(now, excludeHost(seeds, n.options.Self))
	n.step(now, &out)
	return out
}

func (n *Node) addStartPeers(now time.Duration, hosts []string) {
	if !n.start.active {
		return
	}
	for _, host := range hosts {
		if _, ok := n.start.responded[host]; !ok {
			n.start.responded[host] = false
			n.start.nextQuery = now
		}
	}
}

// recordPeerResponse updates the start state with the state of a peer.
func (n *Node) recordPeerResponse(peer string, state State) {
	if !n.start.active {
		return
	}
	n.start.peerRevision = max(n.start.peerRevision, state.Revision)
	if _, ok := n.start.responded[peer]; ok {
		n.start.responded[peer] = true
	}
}

func (n *Node) stepStart(now time.Duration, out *Output) {
	if !n.start.active {
		return
	}
	if now >= n.start.nextQuery {
		n.start.nextQuery = now + StartQueryInterval
		n.queryStartPeers(out)
	}
	if n.startComplete(now) {
		n.start.active = false
	}
}

func (n *Node) queryStartPeers(out *Output) {
	// Peers that have responded are queried again while none has reported a configuration, and while this gateway is
	// behind, because a pull may have been lost.
	all := n.start.peerRevision == 0 || n.start.peerRevision > n.held.Revision
	for _, host := range slices.Sorted(maps.Keys(n.start.responded)) {
		if all || !n.start.responded[host] {
			out.send(host, n.newExchange(false))
		}
	}
}

// startComplete reports whether the gateway may put a document in force. It needs a document that cannot be stale: one
// that a peer holds, or one from the store that a write has confirmed. In addition, either all peers and the store have
// responded and the greatest reported revision is held, or StartTimeout has passed.
func (n *Node) startComplete(now time.Duration) bool {
	if n.held.Revision == 0 || !n.topologyCurrent {
		return false
	}
	if n.start.peerRevision == 0 && !n.start.storeConfirmed {
		return false
	}
	if now >= n.start.deadline {
		return true
	}
	return n.start.storeResponded && n.allPeersResponded() && n.held.Revision >= n.start.peerRevision
}

func (n *Node) allPeersResponded() bool {
	for _, responded := range n.start.responded {
		if !responded {
			return false
		}
	}
	return true
}

// needsStoreConfirmation reports whether the store is the only source of a configuration, so that its value must be
// confirmed not to be stale.
func (n *Node) needsStoreConfirmation(now time.Duration) bool {
	if !n.start.active || n.start.peerRevision != 0 || n.start.storeConfirmed || n.held.Revision == 0 {
		return false
	}
	return n.allPeersResponded() || now >= n.start.deadline
}
