package confsync

import "time"

// Options are the fixed parts of a Node.
type Options struct {
	// Self is the host of this gateway.
	Self string
	// Random returns a number in [0, n).
	Random func(n int) int
	// Rebase returns the document with another revision, and with an id that depends on both only, so that
	// gateways that race make the same document.
	Rebase func(document Document, revision uint64) (Document, error)
}

// Node is the state machine of one gateway. Times are monotonic, from any fixed start.
type Node struct {
	options    Options
	topology   Topology
	neighbours []string

	held     Document
	inForce  Document
	disputed bool
	// configured is true once the topology follows from the held document.
	configured bool
	// copies are the peers that are known to hold the held document too, until it is in force.
	copies          []string
	confirmDeadline time.Duration
	history         history

	start    startState
	pull     pullState
	exchange exchangeState
	store    storeState
}

// New returns a fresh gateway. Call Start before any other input.
func New(options Options) *Node {
	return &Node{options: options, exchange: newExchangeState()}
}

// State returns what heartbeats and their replies carry.
func (n *Node) State() State {
	return State{Revision: n.held.Revision, Tag: n.held.Tag(), Disputed: n.disputed}
}

// InForce returns the document in force. Its revision is 0 if there is none.
func (n *Node) InForce() Document { return n.inForce }

// Held returns the greatest document that this gateway holds. Its revision is 0 if there is none.
func (n *Node) Held() Document { return n.held }

// Configure tells the present topology. Call it after each output with Held, and when the cell's holder changes.
func (n *Node) Configure(now time.Duration, topology Topology) Output {
	var out Output
	if topology.Watcher && !n.topology.Watcher {
		n.store.nextRead = now
		n.store.scheduled = false
	}
	n.topology = topology
	n.neighbours = topology.neighbours(n.options.Self)
	n.configured = true
	n.addAsked(now, n.neighbours)
	n.step(now, &out)
	return out
}

// Tick lets time pass. Call it every 50 ms or more often.
func (n *Node) Tick(now time.Duration) Output {
	var out Output
	n.step(now, &out)
	return out
}

// PeerState tells the state in a heartbeat or heartbeat reply of peer.
func (n *Node) PeerState(now time.Duration, peer string, state State) Output {
	var out Output
	n.learnState(now, peer, state, &out)
	return out
}

// Receive takes a message from peer.
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

// Accepted tells that the store has accepted document. Call it only after the store has confirmed the write.
func (n *Node) Accepted(now time.Duration, document Document) Output {
	var out Output
	n.start.storeDone = true
	n.start.confirmed = true
	n.hold(now, document, "", &out)
	n.step(now, &out)
	return out
}

// StoreResult takes the result of a request.
func (n *Node) StoreResult(now time.Duration, result StoreResult) Output {
	var out Output
	n.receiveStore(now, result, &out)
	n.step(now, &out)
	return out
}

// step does what is due.
func (n *Node) step(now time.Duration, out *Output) {
	n.stepStart(now, out)
	n.stepShow(now, out)
	n.stepExchange(now, out)
	n.stepStore(now, out)
}

// leads says whether this gateway is the holder of its cell.
func (n *Node) leads() bool {
	return n.topology.Holder != "" && n.topology.Holder == n.options.Self
}
