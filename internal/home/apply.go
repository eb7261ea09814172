package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Apply replaces the assignment. Requests of scopes that are releasing wait; requests of scopes that left
// the assignment are refused as not run, so that the gateway routes them to the new owner.
func (d *Dispatcher) Apply(assignment Assignment) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.config.Keyed || d.leaving || d.closed {
		return
	}
	d.mark++
	d.elsewhere = assignment.RemoteHotKeys
	for _, owned := range assignment.Owned {
		d.own(owned, now)
	}
	d.scopes(func(state *scopeState) {
		if state.mark != d.mark {
			d.disown(state)
		}
	})
	d.refuseElsewhere()
	if d.setDirty {
		d.wakeControl()
	}
	d.pump(now)
}

// own adds or updates one scope.
func (d *Dispatcher) own(owned OwnedScope, now time.Time) {
	state := d.lookup(owned.Scope)
	if state != nil && state.released && state.token != owned.Token {
		// The scope was away: another home may have run requests in between.
		d.disown(state)
		state = nil
	}
	if state == nil {
		state = newScopeState(owned.Scope, now)
		state.granted = !d.config.Fenced
		if !d.insert(state) {
			return
		}
		if state.scope.HotKey != "" {
			d.split(state)
		}
		d.setDirty = true
	}
	state.mark = d.mark
	if state.token != owned.Token {
		state.latched = false
		state.token = owned.Token
		state.granted = !d.config.Fenced
		d.setDirty = true
	}
	if state.releasing != owned.Releasing {
		d.setReleasing(state, owned.Releasing)
	}
	d.rehold(state, now)
}

func (d *Dispatcher) setReleasing(state *scopeState, releasing bool) {
	state.releasing = releasing
	state.released = false
	if !releasing && state.withdrawn {
		state.granted = !d.config.Fenced
	}
	d.setDirty = true
}

// disown removes a scope from the assignment.
func (d *Dispatcher) disown(state *scopeState) {
	state.gone = true
	d.remove(state)
	if state.scope.HotKey != "" {
		d.unsplit(state)
	}
	for _, t := range waitingInOrder(state) {
		d.refuseTicket(t, notHome())
	}
	if d.config.Fenced && !state.withdrawn {
		d.departed = append(d.departed, state)
	}
	d.setDirty = true
}

// rehold moves the waiting requests of a scope between the queue and the held ones.
func (d *Dispatcher) rehold(state *scopeState, now time.Time) {
	if len(state.waiting) == 0 {
		return
	}
	held := state.held()
	for _, t := range waitingInOrder(state) {
		switch {
		case held && t.state == ticketQueued:
			d.queue.Remove(&t.entry)
			d.hold(t)
		case !held && t.state == ticketHeld:
			d.holding--
			d.enqueue(t, now)
		}
	}
}

// refuseElsewhere refuses waiting requests of keys that became hot keys of other backend servers.
func (d *Dispatcher) refuseElsewhere() {
	if len(d.elsewhere) == 0 {
		return
	}
	d.scopes(func(state *scopeState) {
		if state.scope.HotKey != "" {
			return
		}
		for t := range state.waiting {
			if d.elsewhere[t.req.Key] {
				d.refuseTicket(t, notHome())
			}
		}
	})
}

// refuseAll refuses all waiting requests.
func (d *Dispatcher) refuseAll(problem *outcome.Problem) {
	d.scopes(func(state *scopeState) {
		for _, t := range waitingInOrder(state) {
			d.refuseTicket(t, problem)
		}
	})
}

func (d *Dispatcher) refuseTicket(t *ticket, problem *outcome.Problem) {
	switch t.state {
	case ticketQueued:
		d.queue.Remove(&t.entry)
	case ticketHeld:
		d.holding--
	}
	d.endWaiting(t, problem)
}

// endWaiting ends a ticket that is in no queue any more.
func (d *Dispatcher) endWaiting(t *ticket, problem *outcome.Problem) {
	delete(t.scope.waiting, t)
	t.state = ticketRefused
	t.problem = problem
	d.forget(t)
	if t.ready != nil {
		close(t.ready)
	}
}

func (d *Dispatcher) lookup(scope backend.Scope) *scopeState {
	if scope.HotKey != "" {
		return d.hotKeys[scope.HotKey]
	}
	if int(scope.Partition) >= len(d.partitions) {
		return nil
	}
	return d.partitions[scope.Partition]
}

// insert adds a scope. It returns false for a partition that the service does not have.
func (d *Dispatcher) insert(state *scopeState) bool {
	switch {
	case state.scope.HotKey != "":
		d.hotKeys[state.scope.HotKey] = state
	case int(state.scope.Partition) >= len(d.partitions):
		return false
	default:
		d.partitions[state.scope.Partition] = state
	}
	state.place = len(d.owned)
	d.owned = append(d.owned, state)
	return true
}

// remove takes a scope out. The last owned scope gets its place.
func (d *Dispatcher) remove(state *scopeState) {
	if state.scope.HotKey != "" {
		delete(d.hotKeys, state.scope.HotKey)
	} else {
		d.partitions[state.scope.Partition] = nil
	}
	last := len(d.owned) - 1
	d.owned[state.place] = d.owned[last]
	d.owned[state.place].place = state.place
	d.owned[last] = nil
	d.owned = d.owned[:last]
}

func waitingInOrder(state *scopeState) []*ticket {
	tickets := make([]*ticket, 0, len(state.waiting))
	for t := range state.waiting {
		tickets = append(tickets, t)
	}
	slices.SortFunc(tickets, func(a, b *ticket) int { return cmp.Compare(a.arrival, b.arrival) })
	return tickets
}
