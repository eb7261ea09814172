package confsync

import (
	"maps"
	"slices"
	"time"
)

// startState is the search of a fresh gateway for the greatest revision.
type startState struct {
	active   bool
	deadline time.Duration
	nextAsk  time.Duration
	// asked tells for each peer whether it has answered.
	asked map[string]bool
	// best is the greatest revision that a peer told.
	best uint64
	// storeDone is true once the store has answered.
	storeDone bool
	// confirmed is true once a write has shown that the store's value is not stale.
	confirmed bool
	confirmAt time.Duration
}

// Start begins the search. Seeds are hosts that probably run a gateway of the team.
func (n *Node) Start(now time.Duration, seeds []string) Output {
	var out Output
	n.start = startState{active: true, deadline: now + StartWait, asked: make(map[string]bool)}
	n.addAsked(now, without(seeds, n.options.Self))
	n.step(now, &out)
	return out
}

func (n *Node) addAsked(now time.Duration, hosts []string) {
	if !n.start.active {
		return
	}
	for _, host := range hosts {
		if _, ok := n.start.asked[host]; !ok {
			n.start.asked[host] = false
			n.start.nextAsk = now
		}
	}
}

// noteAnswer takes the state of a peer into account for the search.
func (n *Node) noteAnswer(peer string, state State) {
	if !n.start.active {
		return
	}
	n.start.best = max(n.start.best, state.Revision)
	if _, ok := n.start.asked[peer]; ok {
		n.start.asked[peer] = true
	}
}

func (n *Node) stepStart(now time.Duration, out *Output) {
	if !n.start.active {
		return
	}
	if now >= n.start.nextAsk {
		n.start.nextAsk = now + AskInterval
		n.askSilent(out)
	}
	if n.mayStart(now) {
		n.start.active = false
	}
}

func (n *Node) askSilent(out *Output) {
	// Peers are asked again while none had a configuration, and in case a pull was lost.
	all := n.start.best == 0 || n.start.best > n.held.Revision
	for _, host := range slices.Sorted(maps.Keys(n.start.asked)) {
		if all || !n.start.asked[host] {
			out.send(host, n.ownState(false))
		}
	}
}

// mayStart says whether the search is over: every source has answered, or the wait is over and there is a document
// that cannot be stale: a peer had one, or a write has confirmed the store's.
func (n *Node) mayStart(now time.Duration) bool {
	if n.held.Revision == 0 || !n.configured {
		return false
	}
	if n.start.best == 0 && !n.start.confirmed {
		return false
	}
	if now >= n.start.deadline {
		return true
	}
	return n.start.storeDone && n.allAnswered() && n.held.Revision >= n.start.best
}

func (n *Node) allAnswered() bool {
	for _, answered := range n.start.asked {
		if !answered {
			return false
		}
	}
	return true
}

// mustConfirm says whether the store's value is the only source, so that it must not be stale.
func (n *Node) mustConfirm(now time.Duration) bool {
	if !n.start.active || n.start.best != 0 || n.start.confirmed || n.held.Revision == 0 {
		return false
	}
	return n.allAnswered() || now >= n.start.deadline
}
