package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Apply replaces the assignment. Requests for scopes in release wait. Requests for scopes that are no longer assigned
// are refused as not executed, so that the gateway routes them to the new owner.
func (d *Dispatcher) Apply(assignment Assignment) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.config.Keyed || d.leaving || d.closed {
		return
	}
	d.assignmentSeq++
	d.remoteHotKeys = assignment.RemoteHotKeys
	for _, owned := range assignment.Owned {
		d.applyOwned(owned, now)
	}
	d.forEachScope(func(state *scopeState) {
		if state.assignmentSeq != d.assignmentSeq {
			d.dropScope(state)
		}
	})
	d.refuseRemoteHotKeys()
	if d.grantSetDirty {
		d.requestCycle()
	}
	d.startWaiting(now)
}

// applyOwned adds or updates one owned scope.
func (d *Dispatcher) applyOwned(owned OwnedScope, now time.Time) {
	state := d.lookupScope(owned.Scope)
	if state != nil && state.released && state.token != owned.Token {
		// The scope was released and is assigned again: meanwhile, another home may have sent requests for it.
		d.dropScope(state)
		state = nil
	}
	if state == nil {
		state = newScopeState(owned.Scope, now)
		state.granted = !d.config.Fenced
		if !d.addScope(state) {
			return
		}
		if state.scope.HotKey != "" {
			d.splitHotKey(state)
		}
		d.grantSetDirty = true
	}
	state.assignmentSeq = d.assignmentSeq
	if state.token != owned.Token {
		state.needsNewToken = false
		state.token = owned.Token
		state.granted = !d.config.Fenced
		d.grantSetDirty = true
	}
	if state.releasing != owned.Releasing {
		d.setReleasing(state, owned.Releasing)
	}
	d.requeueWaiting(state, now)
}

func (d *Dispatcher) setReleasing(state *scopeState, releasing bool) {
	state.releasing = releasing
	state.released = false
	if !releasing && state.withdrawn {
		state.granted = !d.config.Fenced
	}
	d.grantSetDirty = true
}

// dropScope removes a scope that is no longer assigned and refuses its waiting requests.
func (d *Dispatcher) dropScope(state *scopeState) {
	state.removed = true
	d.removeScope(state)
	if state.scope.HotKey != "" {
		d.mergeHotKey(state)
	}
	for _, p := range waitingByArrival(state) {
		d.refuseWaiting(p, notHome())
	}
	if d.config.Fenced && !state.withdrawn {
		d.removedScopes = append(d.removedScopes, state)
	}
	d.grantSetDirty = true
}

// requeueWaiting moves the waiting requests of a scope from the queue to the held requests or back, as the state of the
// scope requires.
func (d *Dispatcher) requeueWaiting(state *scopeState, now time.Time) {
	if len(state.waiting) == 0 {
		return
	}
	held := state.held()
	for _, p := range waitingByArrival(state) {
		switch {
		case held && p.state == requestQueued:
			d.queue.Remove(&p.entry)
			d.hold(p)
		case !held && p.state == requestHeld:
			d.heldCount--
			d.enqueue(p, now)
		}
	}
}

// refuseRemoteHotKeys refuses waiting requests for hot keys that are now owned by other backend servers.
func (d *Dispatcher) refuseRemoteHotKeys() {
	if len(d.remoteHotKeys) == 0 {
		return
	}
	d.forEachScope(func(state *scopeState) {
		if state.scope.HotKey != "" {
			return
		}
		for p := range state.waiting {
			if d.remoteHotKeys[p.req.Key] {
				d.refuseWaiting(p, notHome())
			}
		}
	})
}

func (d *Dispatcher) refuseAllWaiting(problem *outcome.Problem) {
	d.forEachScope(func(state *scopeState) {
		for _, p := range waitingByArrival(state) {
			d.refuseWaiting(p, problem)
		}
	})
}

func (d *Dispatcher) refuseWaiting(p *pendingRequest, problem *outcome.Problem) {
	switch p.state {
	case requestQueued:
		d.queue.Remove(&p.entry)
	case requestHeld:
		d.heldCount--
	}
	d.finishRefused(p, problem)
}

// finishRefused completes a request that was refused and is no longer queued or held.
func (d *Dispatcher) finishRefused(p *pendingRequest, problem *outcome.Problem) {
	delete(p.scope.waiting, p)
	p.state = requestRefused
	p.problem = problem
	d.discardIdentity(p)
	if p.ready != nil {
		close(p.ready)
	}
}

func (d *Dispatcher) lookupScope(scope backend.Scope) *scopeState {
	if scope.HotKey != "" {
		return d.hotKeys[scope.HotKey]
	}
	if int(scope.Partition) >= len(d.partitions) {
		return nil
	}
	return d.partitions[scope.Partition]
}

// addScope adds an owned scope. It returns false for a partition that the service does not have.
func (d *Dispatcher) addScope(state *scopeState) bool {
	switch {
	case state.scope.HotKey != "":
		d.hotKeys[state.scope.HotKey] = state
	case int(state.scope.Partition) >= len(d.partitions):
		return false
	default:
		d.partitions[state.scope.Partition] = state
	}
	state.index = len(d.ownedScopes)
	d.ownedScopes = append(d.ownedScopes, state)
	return true
}

// removeScope removes an owned scope. The last element of ownedScopes takes its index.
func (d *Dispatcher) removeScope(state *scopeState) {
	if state.scope.HotKey != "" {
		delete(d.hotKeys, state.scope.HotKey)
	} else {
		d.partitions[state.scope.Partition] = nil
	}
	last := len(d.ownedScopes) - 1
	d.ownedScopes[state.index] = d.ownedScopes[last]
	d.ownedScopes[state.index].index = state.index
	d.ownedScopes[last] = nil
	d.ownedScopes = d.ownedScopes[:last]
}

func waitingByArrival(state *scopeState) []*pendingRequest {
	waiting := make([]*pendingRequest, 0, len(state.waiting))
	for p := range state.waiting {
		waiting = append(waiting, p)
	}
	slices.SortFunc(waiting, func(a, b *pendingRequest) int { return cmp.Compare(a.arrivalSeq, b.arrivalSeq) })
	return waiting
}
