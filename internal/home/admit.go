package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// admit starts or queues a request. It returns a problem if the request is refused, or the entry of an
// earlier request with the same identity.
func (d *Dispatcher) admit(t *ticket) (*identityEntry, *outcome.Problem) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if problem := d.route(t, now); problem != nil {
		return nil, problem
	}
	earlier, problem := d.identify(t, now)
	if earlier != nil || problem != nil {
		return earlier, problem
	}
	if t.req.Key != "" {
		d.sketch.add(t.req.Key)
	}
	if d.startAtOnce(t, now) {
		return nil, nil
	}
	return nil, d.wait(t, now)
}

// route finds the scope of a request, or the reason for which this dispatcher does not serve it.
func (d *Dispatcher) route(t *ticket, now time.Time) *outcome.Problem {
	if d.leaving || d.closed {
		return notHome()
	}
	if !now.Before(d.config.Lease()) {
		return leaseEnded()
	}
	if !now.Before(t.req.Deadline) {
		return deadlinePassed()
	}
	if d.whole != nil {
		t.scope = d.whole
		return d.unusable(now)
	}
	if state := d.hotKeys[t.req.Key]; state != nil {
		t.scope = state
		return nil
	}
	if d.elsewhere[t.req.Key] {
		return notHome()
	}
	t.scope = d.partitions[keyspace.PartitionOf(t.req.Key, len(d.partitions))]
	if t.scope == nil {
		return notHome()
	}
	return nil
}

// unusable refuses requests that another backend server can take. Requests of a divided service wait for the
// new owner instead.
func (d *Dispatcher) unusable(now time.Time) *outcome.Problem {
	switch {
	case d.health.usableSlots(now, d.config.Slots) > 0:
		return nil
	case d.health.judgement == HealthDown:
		return serverDown()
	default:
		return draining()
	}
}

// identify records the request identity of a request that must not run twice.
func (d *Dispatcher) identify(t *ticket, now time.Time) (*identityEntry, *outcome.Problem) {
	if t.req.Idempotent || t.req.Identity == "" {
		return nil, nil
	}
	key := identityKey{subscriber: t.req.Subscriber, identity: t.req.Identity}
	if earlier := d.identities.find(key, now); earlier != nil {
		return earlier, nil
	}
	// The first attempt cannot have run before, so the age of its identity does not matter.
	if !t.req.FirstAttempt && !d.identities.covers(t.req.Identity, t.scope.since) {
		return nil, identityTooOld()
	}
	t.identity = d.identities.add(key, now)
	if t.identity == nil {
		return nil, recordFull()
	}
	return nil, nil
}

// forget ends the record of an identity that did not run.
func (d *Dispatcher) forget(t *ticket) {
	if t.identity != nil {
		d.identities.finish(t.identity, outcome.NotExecuted, 0)
	}
}

// startAtOnce starts a request that needs no waiting.
func (d *Dispatcher) startAtOnce(t *ticket, now time.Time) bool {
	if d.queue.Len() > 0 || t.scope.held() || !d.slotUsable(now) {
		return false
	}
	d.queue.Start(&t.entry, d.monotonic(now), d.serviceTime)
	d.begin(t, now)
	return true
}

// wait queues or holds a request.
func (d *Dispatcher) wait(t *ticket, now time.Time) *outcome.Problem {
	d.arrivals++
	t.arrival = d.arrivals
	t.ready = make(chan struct{})
	t.scope.waiting[t] = struct{}{}
	if t.scope.held() {
		d.hold(t)
	} else {
		d.enqueue(t, now)
	}
	return t.problem
}

// hold keeps a request of a held scope, within the bound of the queue.
func (d *Dispatcher) hold(t *ticket) {
	if d.holding >= d.config.QueueTotal {
		d.endWaiting(t, evicted())
		return
	}
	t.state = ticketHeld
	d.holding++
}

// enqueue puts a waiting request into the fair queue, or refuses it.
func (d *Dispatcher) enqueue(t *ticket, now time.Time) {
	t.state = ticketQueued
	t.entry.Deadline = d.monotonic(t.req.Deadline)
	victim, err := d.queue.Push(&t.entry, d.monotonic(now), d.serviceTime)
	if err != nil {
		d.endWaiting(t, queueProblem(err))
		return
	}
	if victim != nil {
		d.endWaiting(victim.Value, evicted())
	}
}
