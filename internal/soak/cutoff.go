package soak

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// Figures of the platform's rule on requests that a planned stop cuts off.
const (
	// excusedAcceptance is how long after the signal a request may be sent that the end of the process may cut off while its
	// server works on it.
	excusedAcceptance = 3 * time.Second
	// excusedShare is the last part of the grace period, in which that may happen.
	excusedShare = 6
	// stopMargin is how long after the grace period the rule holds, also for the next process.
	stopMargin = time.Second
	// transferTime is how long a request or a response may be under way.
	transferTime = 200 * time.Millisecond
)

// cutOff is a request whose connection ended, or that the gateway gave up, without the response of a server.
type cutOff struct {
	sentAt, endedAt time.Time
	// stoppedAt is when the gateway got its signal.
	stoppedAt time.Time
	// executed is true if a server began to execute the request. executionEnd is when that ended, or zero if it has not.
	executed     bool
	executionEnd time.Time
	// abandoned is when the gateway broke off the execution, or zero.
	abandoned time.Time
	// responded is true if the gateway gave a response of its own.
	responded bool
	// behind is true if the request was sent behind another one on its connection.
	behind bool
	// deadline is how long the client waits.
	deadline time.Duration
}

// isLost reports whether a planned stop may not end the request like this.
func (c cutOff) isLost() bool {
	switch {
	case c.stoppedAt.IsZero(), c.endedAt.Sub(c.sentAt) >= c.deadline:
		return false
	case c.responded && !c.abandoned.IsZero() && c.abandoned.Before(c.stoppedAt):
		// It was given up for another reason than the stop.
		return false
	case c.endedAt.Before(c.stoppedAt), c.endedAt.Sub(c.stoppedAt) > stopGrace+stopMargin:
		return false
	case !c.executed:
		// With a response of the gateway, its server broke off, as a full one may.
		return !c.responded && !c.behind && c.endedAt.Sub(c.sentAt) > transferTime
	case !c.executionEnd.IsZero() && c.endedAt.Sub(c.executionEnd) > transferTime:
		return true
	}
	late := c.endedAt.Sub(c.stoppedAt) >= stopGrace-stopGrace/excusedShare
	return !late || c.sentAt.Sub(c.stoppedAt) > excusedAcceptance
}

// RecordPlannedStop records that a gateway gets a signal to stop, in a time without other faults. From then on, its requests
// that are cut off count.
func (c *Checker) RecordPlannedStop(gateway string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppedAt[gateway] = time.Now()
}

// RecordNoAnswer checks a request that ended without the response of a server. status is that of the gateway's own response,
// or 0 if the connection ended.
func (c *Checker) RecordNoAnswer(request string, sentAt time.Time, status int, behind bool, deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome.PromisesNotExecuted(status) {
		return
	}
	gateway := c.gateways[request]
	cut := cutOff{
		sentAt: sentAt, endedAt: time.Now(), stoppedAt: c.stoppedAt[gateway], executed: c.executions[request] > 0,
		executionEnd: c.executionEnds[request], abandoned: c.abandoned[request], responded: status != 0, behind: behind, deadline: deadline,
	}
	if cut.isLost() {
		c.addViolation("planned stop of %s, %v after its signal: request %s, sent %v before, ends with status %d; executed: %v, end of that: %v before",
			gateway, cut.endedAt.Sub(cut.stoppedAt), request, cut.endedAt.Sub(sentAt), status, cut.executed, cut.endedAt.Sub(cut.executionEnd))
	}
}

// ExecutionEnded implements standin.Observer.
func (c *Checker) ExecutionEnded(execution standin.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executionEnds[execution.Request] = time.Now()
}

// ExecutionAbandoned implements standin.Observer.
func (c *Checker) ExecutionAbandoned(execution standin.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned[execution.Request] = time.Now()
}
