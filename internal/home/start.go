package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fairqueue"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// minRemaining is the least time that must remain before the end of the lease and the grant when a request starts.
const minRemaining = 2 * time.Millisecond

// startWaiting starts queued requests while slots are free. If the service is not sharded and the server is unavailable,
// it refuses all waiting requests.
func (d *Dispatcher) startWaiting(now time.Time) {
	for d.queue.Len() > 0 && d.canStart(now) {
		entry, ok := d.queue.Pop(d.monotonic(now), d.expireWaiting)
		if !ok {
			d.scheduleStart(now)
			return
		}
		p := entry.Value
		delete(p.scope.waiting, p)
		d.startRequest(p, now)
		close(p.ready)
	}
	if d.unkeyedScope == nil {
		return
	}
	if problem := d.unavailableProblem(now); problem != nil {
		d.refuseAllWaiting(problem)
	}
}

// scheduleStart calls startWaiting again when the queue may start its next request.
func (d *Dispatcher) scheduleStart(now time.Time) {
	at, ok := d.queue.ReadyAt()
	if !ok || d.startScheduled {
		return
	}
	d.startScheduled = true
	time.AfterFunc(at-d.monotonic(now), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.startScheduled = false
		d.startWaiting(time.Now())
	})
}

func (d *Dispatcher) expireWaiting(entry *fairqueue.Entry[*pendingRequest]) {
	d.finishRefused(entry.Value, deadlinePassed())
}

// canStart reports whether a request may be sent now.
func (d *Dispatcher) canStart(now time.Time) bool {
	if d.closed || d.slotsInUse >= d.health.usableSlots(now, d.config.Slots) {
		return false
	}
	// A request that the end of the lease would cut off waits for the renewal instead. The grant is only needed when
	// the execution starts.
	starts := now.Add(minRemaining)
	ends := now.Add(max(minRemaining, min(2*d.serviceTime, d.config.MaxRunTime)))
	if starts.After(d.config.LeaseEnd()) || ends.After(d.config.latestDeadline()) {
		return false
	}
	return !d.config.Fenced || !starts.After(d.grantedUntil)
}

// startRequest takes a slot and prepares the request that the backend server receives.
func (d *Dispatcher) startRequest(p *pendingRequest, now time.Time) {
	d.slotsInUse++
	p.state = requestStarted
	p.started = now
	p.scope.inProgress++
	d.running[p] = struct{}{}
	p.scope.requests++
	p.outgoing = *p.req
	p.outgoing.Deadline = d.executionDeadline(p.req.Deadline, now)
	p.outgoing.Keyed = d.config.Keyed
	p.outgoing.Scope = p.scope.scope
	p.outgoing.Token = p.scope.token
}

// executionDeadline returns the earliest of the client's deadline, the end of the longest run time and latestDeadline.
func (d *Dispatcher) executionDeadline(clientDeadline, now time.Time) time.Time {
	deadline := now.Add(d.config.MaxRunTime)
	if clientDeadline.Before(deadline) {
		deadline = clientDeadline
	}
	if end := d.config.latestDeadline(); end.Before(deadline) {
		deadline = end
	}
	return deadline
}

// cancelWait removes a waiting request. It returns false if the request was started or refused in the meantime.
func (d *Dispatcher) cancelWait(p *pendingRequest, problem *outcome.Problem) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.state != requestQueued && p.state != requestHeld {
		return false
	}
	d.refuseWaiting(p, problem)
	return true
}
