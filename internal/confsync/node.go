package confsync

import "time"

// Options configures a Node.
type Options struct {
	// Self is the name of the host of this gateway.
	Self string
	// Random returns a random number in [0, n).
	Random func(n int) int
	// Rebase returns the document with another revision. The new ID depends only on the document and the revision, so
	// that gateways that do this concurrently produce the same document.
	Rebase func(document Document, revision uint64) (Document, error)
}

// Node is the state machine of one gateway. Times are monotonic and relative to any fixed origin.
type Node struct {
	options    Options
	topology   Topology
	neighbours []string

	held     Document
	inForce  Document
	disputed bool
	// topologyCurrent is true once the caller has computed the topology from the held document.
	topologyCurrent bool
	// replicas lists the peers that are known to hold the same document. It is maintained until the document is in
	// force.
	replicas        []string
	replicaDeadline time.Duration
	history         history

	start    startState
	pull     pullState
	exchange exchangeState
	store    storeState
}

// New returns the state machine of a gateway without configuration. Call Start before any other input.
func New(options Options) *Node {
	return &Node{options: options, exchange: newExchangeState()}
}

// State returns the state to send in heartbeats and heartbeat replies.
func (n *Node) State() State {
	return State{Revision: n.held.Revision, Tag: n.held.Tag(), Disputed: n.disputed}
}

// InForce returns the document in force. Its revision is 0 if there is none.
func (n *Node) InForce() Document { return n.inForce }

// Held returns the document that this gateway holds. Its revision is 0 if there is none.
func (n *Node) Held() Document { return n.held }

// SetTopology sets the current topology. Call it after each output that sets Held, and when the holder of the cell
// changes.
func (n *Node) SetTopology(now time.Duration, topology Topology) Output {
	var out Output
	if topology.Watcher && !n.topology.Watcher {
		n.store.nextRead = now
		n.store.readScheduled = false
	}
	n.topology = topology
	n.neighbours = topology.neighbours(n.options.Self)
	n.topologyCurrent = true
	n.addStartPeers(now, n.neighbours)
	n.step(now, &out)
	return out
}

// Tick advances the time. Call it at least every 50 ms.
func (n *Node) Tick(now time.Duration) Output {
	var out Output
	n.step(now, &out)
	return out
}

// HandlePeerState processes the state in a heartbeat or heartbeat reply from peer.
func (n *Node) HandlePeerState(now time.Duration, peer string, state State) Output {
	var out Output
	n.handlePeerState(now, peer, state, &out)
	return out
}

// Receive processes a message from peer.
func (n *Node) Receive(now time.Duration, peer string, m Message) Output {
	var out Output
	switch m := m.(type) {
	case Exchange:
		n.receiveExchange(now, peer, m, &out)
	case Pull:
		n.receivePull(peer, m, &out)
	case Content:
		n.receiveContent(now, peer, m, &out)
	}
	n.step(now, &out)
	return out
}

// Accepted processes a document that an accept operation wrote to the store. Call it only after the store has confirmed
// the write.
func (n *Node) Accepted(now time.Duration, document Document) Output {
	var out Output
	n.start.storeResponded = true
	n.start.storeConfirmed = true
	n.setHeld(now, document, "", &out)
	n.step(now, &out)
	return out
}

// HandleStoreResult processes the result of a store request.
func (n *Node) HandleStoreResult(now time.Duration, result StoreResult) Output {
	var out Output
	n.receiveStoreResult(now, result, &out)
	n.step(now, &out)
	return out
}

// step performs all actions that are due.
func (n *Node) step(now time.Duration, out *Output) {
	n.stepStart(now, out)
	n.stepPutInForce(now, out)
	n.stepExchange(now, out)
	n.stepStore(now, out)
}

// isHolder reports whether this gateway is the holder of its cell.
func (n *Node) isHolder() bool {
	return n.topology.Holder != "" && n.topology.Holder == n.options.Self
}
