package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
)

// attemptTimer cancels an attempt of an idempotent request that takes much longer than expected, so that the request is
// sent again: the response may have been lost. It does so only if a server has room for the retry and the retry budget
// allows it, and never while the gateway is shutting down.
type attemptTimer struct {
	// mu protects the fields below.
	mu    sync.Mutex
	timer *time.Timer
	// timeout is the time after which the attempt is canceled, or looked at again.
	timeout time.Duration
	stopped bool
}

// startAttemptTimer starts the timer for the current attempt. It starts none if the request may not be sent again or
// the remaining time does not suffice for a second attempt.
func (f *forwarder) startAttemptTimer(reservation *dispatch.Reservation, cancel context.CancelFunc) *attemptTimer {
	t := &attemptTimer{}
	timeout := max(attemptTimeoutFactor*reservation.Expected, attemptTimeoutTargets*f.route.Target)
	if !f.route.Idempotent || f.request.rest != nil || f.sends+1 >= f.route.MaxAttempts || f.timeLeft() < timeout+reservation.Expected {
		return t
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeout = timeout
	t.timer = time.AfterFunc(timeout, func() { f.attemptTimedOut(t, reservation, cancel) })
	return t
}

// attemptTimedOut cancels an attempt, or checks again later if no server has room for a further one.
func (f *forwarder) attemptTimedOut(t *attemptTimer, reservation *dispatch.Reservation, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || f.handler.ShuttingDown() || f.timeLeft() < reservation.Expected {
		return
	}
	further := f.acquireRequest
	further.Tried = append(slices.Clip(further.Tried), reservation.Server.Incarnation())
	if !f.handler.Dispatcher.HasRoom(&further) {
		t.timer.Reset(t.timeout)
		return
	}
	if !f.takeRetry() {
		return
	}
	f.retryGranted = true
	cancel()
}

// stop stops the timer. The attempt is not canceled afterwards.
func (t *attemptTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}
