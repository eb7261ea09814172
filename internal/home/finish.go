package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

const (
	// canceledSlotHold is how long the slot of an abandoned request stays in use: by then, a server that honours
	// cancellation has noticed the closed connection.
	canceledSlotHold = 20 * time.Millisecond
	// serviceTimeDivisor gives one request a weight of 1/16 in the moving average of the service time.
	serviceTimeDivisor = 16
)

// responseStarted records that the response header was received, which means that the request was executed.
func (d *Dispatcher) responseStarted(p *pendingRequest, status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.recordSuccess(time.Now())
	if p.identity != nil {
		d.identities.finish(p.identity, outcome.Executed, status)
	}
}

// completed frees the slot of a request whose response is complete.
func (d *Dispatcher) completed(p *pendingRequest) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	took := now.Sub(p.started)
	d.recordServiceTime(took)
	d.endExecution(p)
	d.freeSlot(p, took, now)
}

// abandoned ends a request that may still be in execution because its response was cut off or the client canceled it.
// Its scope does not count as idle before the request's deadline has passed on every clock.
func (d *Dispatcher) abandoned(p *pendingRequest) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abandonLocked(p, now)
}

func (d *Dispatcher) abandonLocked(p *pendingRequest, now time.Time) {
	end := p.outgoing.Deadline.Add(MaxClockSkew)
	if end.After(p.scope.mayExecuteUntil) {
		p.scope.mayExecuteUntil = end
	}
	d.endExecution(p)
	hold := min(canceledSlotHold, max(0, end.Sub(now)))
	time.AfterFunc(hold, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.freeSlot(p, now.Sub(p.started), now)
	})
}

// failed ends a request that got no response.
func (d *Dispatcher) failed(p *pendingRequest, problem *outcome.Problem) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.identity != nil {
		d.identities.finish(p.identity, problem.Outcome, 0)
	}
	d.updateHealth(p, problem, now)
	if problem.Outcome != outcome.NotExecuted {
		d.abandonLocked(p, now)
		return
	}
	d.endExecution(p)
	d.freeSlot(p, now.Sub(p.started), now)
}

// updateHealth records a failed request in the health state.
func (d *Dispatcher) updateHealth(p *pendingRequest, problem *outcome.Problem, now time.Time) {
	switch problem.Kind {
	case outcome.KindConnect, outcome.KindConnectionLost, outcome.KindBadResponse:
		d.health.recordFailure(now)
	case outcome.KindTimeout:
		// A timeout at the client's own, shorter deadline does not indicate a fault of the server.
		if p.outgoing.Deadline.Before(p.req.Deadline) {
			d.health.recordFailure(now)
		}
	case outcome.KindDraining:
		d.health.recordDrainRefusal(now)
	case outcome.KindStaleGrant:
		d.requireGrant(p.scope)
	}
	if d.health.status != HealthUp {
		d.requestCycle()
	}
}

// requireGrant holds the requests of a scope until the server has acknowledged its grant again.
func (d *Dispatcher) requireGrant(state *scopeState) {
	if !d.config.Fenced || state.removed {
		return
	}
	state.granted = false
	d.grantSetDirty = true
	d.requeueWaiting(state, time.Now())
	d.requestCycle()
}

// endExecution removes a request from the requests in execution of its scope.
func (d *Dispatcher) endExecution(p *pendingRequest) {
	p.scope.inProgress--
	delete(d.running, p)
	if p.scope.releasing && p.scope.inProgress == 0 {
		d.requestCycle()
	}
}

// freeSlot makes the slot available to the next request.
func (d *Dispatcher) freeSlot(p *pendingRequest, took time.Duration, now time.Time) {
	d.slotsInUse--
	p.scope.slotTime += took
	d.queue.Done(&p.entry, took)
	d.startWaiting(now)
}

func (d *Dispatcher) recordServiceTime(took time.Duration) {
	if d.serviceTime == 0 {
		d.serviceTime = took
		return
	}
	d.serviceTime += (took - d.serviceTime) / serviceTimeDivisor
}
