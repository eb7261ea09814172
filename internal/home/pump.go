package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fairqueue"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// minRemaining is the least time that a dispatched request must have before the end of a lease or grant.
const minRemaining = 2 * time.Millisecond

// pump starts waiting requests while slots are free.
func (d *Dispatcher) pump(now time.Time) {
	for d.queue.Len() > 0 && d.slotUsable(now) {
		entry, ok := d.queue.Pop(d.monotonic(now), d.expire)
		if !ok {
			d.pace(now)
			return
		}
		t := entry.Value
		delete(t.scope.waiting, t)
		d.begin(t, now)
		close(t.ready)
	}
	if d.whole == nil {
		return
	}
	if problem := d.unusable(now); problem != nil {
		d.refuseAll(problem)
	}
}

// pace pumps again once the queue may start its next request.
func (d *Dispatcher) pace(now time.Time) {
	at, ok := d.queue.ReadyAt()
	if !ok || d.pacing {
		return
	}
	d.pacing = true
	time.AfterFunc(at-d.monotonic(now), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.pacing = false
		d.pump(time.Now())
	})
}

func (d *Dispatcher) expire(entry *fairqueue.Entry[*ticket]) {
	d.endWaiting(entry.Value, deadlinePassed())
}

// slotUsable reports whether a request may be sent now.
func (d *Dispatcher) slotUsable(now time.Time) bool {
	if d.closed || d.busy >= d.health.usableSlots(now, d.config.Slots) {
		return false
	}
	// A request that would be cut by the end of the lease waits for the renewal instead. The grant is only
	// needed when the execution starts.
	starts := now.Add(minRemaining)
	ends := now.Add(max(minRemaining, min(2*d.serviceTime, d.config.MaxRequest)))
	if starts.After(d.config.Lease()) || ends.After(d.config.lastDeadline()) {
		return false
	}
	return !d.config.Fenced || !starts.After(d.grantedUntil)
}

// begin takes a slot and fixes what the backend server gets.
func (d *Dispatcher) begin(t *ticket, now time.Time) {
	d.busy++
	t.state = ticketStarted
	t.started = now
	t.scope.inProgress++
	d.running[t] = struct{}{}
	t.scope.requests++
	t.sent = *t.req
	t.sent.Deadline = d.requestDeadline(t.req.Deadline, now)
	t.sent.Keyed = d.config.Keyed
	t.sent.Scope = t.scope.scope
	t.sent.Token = t.scope.token
}

// requestDeadline is the earliest of the caller's deadline, the longest execution and the end of the lease.
func (d *Dispatcher) requestDeadline(caller, now time.Time) time.Time {
	deadline := now.Add(d.config.MaxRequest)
	if caller.Before(deadline) {
		deadline = caller
	}
	if end := d.config.lastDeadline(); end.Before(deadline) {
		deadline = end
	}
	return deadline
}

// abandonWait takes a waiting request out of the dispatcher. It returns false if the request was started or
// refused meanwhile.
func (d *Dispatcher) abandonWait(t *ticket, problem *outcome.Problem) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.state != ticketQueued && t.state != ticketHeld {
		return false
	}
	d.refuseTicket(t, problem)
	return true
}
