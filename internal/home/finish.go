package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

const (
	// cancelHold is the time for which the slot of an abandoned request stays taken: a server that honours
	// cancellation has noticed the closed connection by then.
	cancelHold = 20 * time.Millisecond
	// serviceTimeWeight is the weight of one request in the moving average, as a divisor.
	serviceTimeWeight = 16
)

// answered records that the head of the answer has arrived: the request was executed.
func (d *Dispatcher) answered(t *ticket, status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.answered(time.Now())
	if t.identity != nil {
		d.identities.finish(t.identity, outcome.Executed, status)
	}
}

// completed frees the slot of a request whose answer is complete.
func (d *Dispatcher) completed(t *ticket) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	took := now.Sub(t.started)
	d.observe(took)
	d.endExecution(t)
	d.freeSlot(t, took, now)
}

// abandoned ends a request that can still be executing: its answer was cut or the caller gave up. Its scope
// is not idle until the request's deadline has passed on every clock.
func (d *Dispatcher) abandoned(t *ticket) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abandonLocked(t, now)
}

func (d *Dispatcher) abandonLocked(t *ticket, now time.Time) {
	end := t.sent.Deadline.Add(MaxClockSkew)
	if end.After(t.scope.busyUntil) {
		t.scope.busyUntil = end
	}
	d.endExecution(t)
	hold := min(cancelHold, max(0, end.Sub(now)))
	time.AfterFunc(hold, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.freeSlot(t, now.Sub(t.started), now)
	})
}

// failed ends a request that got no answer.
func (d *Dispatcher) failed(t *ticket, problem *outcome.Problem) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.identity != nil {
		d.identities.finish(t.identity, problem.Outcome, 0)
	}
	d.judge(t, problem, now)
	if problem.Outcome != outcome.NotExecuted {
		d.abandonLocked(t, now)
		return
	}
	d.endExecution(t)
	d.freeSlot(t, now.Sub(t.started), now)
}

// judge tells the health state about a failed request.
func (d *Dispatcher) judge(t *ticket, problem *outcome.Problem, now time.Time) {
	switch problem.Kind {
	case outcome.KindConnect, outcome.KindConnectionLost, outcome.KindBadResponse:
		d.health.failed(now)
	case outcome.KindTimeout:
		// A caller's short deadline says nothing about the server.
		if t.sent.Deadline.Before(t.req.Deadline) {
			d.health.failed(now)
		}
	case outcome.KindDraining:
		d.health.refusedToDrain(now)
	case outcome.KindStaleGrant:
		d.regrant(t.scope)
	}
	if d.health.judgement != HealthUp {
		d.wakeControl()
	}
}

// regrant holds a scope until the server has acknowledged its grant again.
func (d *Dispatcher) regrant(state *scopeState) {
	if !d.config.Fenced || state.gone {
		return
	}
	state.granted = false
	d.setDirty = true
	d.rehold(state, time.Now())
	d.wakeControl()
}

// endExecution counts a request out of its scope.
func (d *Dispatcher) endExecution(t *ticket) {
	t.scope.inProgress--
	delete(d.running, t)
	if t.scope.releasing && t.scope.inProgress == 0 {
		d.wakeControl()
	}
}

// freeSlot gives the slot to the next request.
func (d *Dispatcher) freeSlot(t *ticket, took time.Duration, now time.Time) {
	d.busy--
	t.scope.slotTime += took
	d.queue.Done(&t.entry, took)
	d.pump(now)
}

func (d *Dispatcher) observe(took time.Duration) {
	if d.serviceTime == 0 {
		d.serviceTime = took
		return
	}
	d.serviceTime += (took - d.serviceTime) / serviceTimeWeight
}
