package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// admit starts a request or adds it to the waiting ones. It returns a problem if the request is refused, or the entry
// of an earlier request with the same identity.
func (d *Dispatcher) admit(p *pendingRequest) (*identityEntry, *outcome.Problem) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if problem := d.resolveScope(p, now); problem != nil {
		return nil, problem
	}
	earlier, problem := d.registerIdentity(p, now)
	if earlier != nil || problem != nil {
		return earlier, problem
	}
	if p.req.Key != "" {
		d.sketch.add(p.req.Key)
	}
	if d.tryStart(p, now) {
		return nil, nil
	}
	return nil, d.addWaiting(p, now)
}

// resolveScope sets the scope of a request, or returns the reason why this dispatcher does not serve it.
func (d *Dispatcher) resolveScope(p *pendingRequest, now time.Time) *outcome.Problem {
	if d.leaving || d.closed {
		return notHome()
	}
	if !now.Before(d.config.LeaseEnd()) {
		return leaseEnded()
	}
	if !now.Before(p.req.Deadline) {
		return deadlinePassed()
	}
	if d.unkeyedScope != nil {
		p.scope = d.unkeyedScope
		return d.unavailableProblem(now)
	}
	if state := d.hotKeys[p.req.Key]; state != nil {
		p.scope = state
		return nil
	}
	if d.remoteHotKeys[p.req.Key] {
		return notHome()
	}
	p.scope = d.partitions[keyspace.PartitionOf(p.req.Key, len(d.partitions))]
	if p.scope == nil {
		return notHome()
	}
	return nil
}

// unavailableProblem returns the reason to refuse the requests of a service that is not sharded, or nil. Another backend
// server can take these requests, whereas those of a sharded service wait for the new owner.
func (d *Dispatcher) unavailableProblem(now time.Time) *outcome.Problem {
	switch {
	case d.health.usableSlots(now, d.config.Slots) > 0:
		return nil
	case d.health.status == HealthDown:
		return serverDown()
	default:
		return draining()
	}
}

// registerIdentity records the identity of a request that must not be executed twice, or returns the entry of an
// earlier request with the same identity.
func (d *Dispatcher) registerIdentity(p *pendingRequest, now time.Time) (*identityEntry, *outcome.Problem) {
	if p.req.Idempotent || p.req.Identity == "" {
		return nil, nil
	}
	key := identityKey{subscriber: p.req.Subscriber, identity: p.req.Identity}
	if earlier := d.identities.find(key, now); earlier != nil {
		return earlier, nil
	}
	// No earlier attempt can have been executed, so the age of the identity does not matter.
	if !p.req.FirstAttempt && !d.identities.covers(p.req.Identity, p.scope.recordedSince) {
		return nil, identityTooOld()
	}
	p.identity = d.identities.add(key, now)
	if p.identity == nil {
		return nil, identityRecordFull()
	}
	return nil, nil
}

// discardIdentity removes the recorded identity of a request that was not executed.
func (d *Dispatcher) discardIdentity(p *pendingRequest) {
	if p.identity != nil {
		d.identities.finish(p.identity, outcome.NotExecuted, 0)
	}
}

// tryStart starts a request that does not have to wait. It returns false if the request must wait.
func (d *Dispatcher) tryStart(p *pendingRequest, now time.Time) bool {
	if d.queue.Len() > 0 || p.scope.held() || !d.canStart(now) {
		return false
	}
	d.queue.Start(&p.entry, d.monotonic(now), d.serviceTime)
	d.startRequest(p, now)
	return true
}

// addWaiting queues or holds a request. It returns a problem if the queue refuses the request.
func (d *Dispatcher) addWaiting(p *pendingRequest, now time.Time) *outcome.Problem {
	d.arrivals++
	p.arrivalSeq = d.arrivals
	p.ready = make(chan struct{})
	p.scope.waiting[p] = struct{}{}
	if p.scope.held() {
		d.hold(p)
	} else {
		d.enqueue(p, now)
	}
	return p.problem
}

// hold keeps a request until its scope may be dispatched. The number of held requests is limited to QueueTotal.
func (d *Dispatcher) hold(p *pendingRequest) {
	if d.heldCount >= d.config.QueueTotal {
		d.finishRefused(p, queueFull())
		return
	}
	p.state = requestHeld
	d.heldCount++
}

// enqueue adds a waiting request to the fair queue, or refuses it.
func (d *Dispatcher) enqueue(p *pendingRequest, now time.Time) {
	p.state = requestQueued
	p.entry.Deadline = d.monotonic(p.req.Deadline)
	evictedEntry, err := d.queue.Push(&p.entry, d.monotonic(now), d.serviceTime)
	if err != nil {
		d.finishRefused(p, queueProblem(err))
		return
	}
	if evictedEntry != nil {
		d.finishRefused(evictedEntry.Value, queueFull())
	}
}
