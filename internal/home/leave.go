package home

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLeaveIncomplete is returned by Leave if the context was done before all requests in execution had ended.
var ErrLeaveIncomplete = errors.New("requests are still in execution on the backend server; wait for the home lease to expire")

// leavePollInterval is how often Leave checks for requests in execution.
const leavePollInterval = 5 * time.Millisecond

// Leave ends the role of home: waiting requests are refused as not executed, requests in execution continue to their
// end, and then all grants are withdrawn. After a nil error, the server executes no request of this home.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.beginLeave()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for !d.leaveComplete(time.Now()) {
		select {
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), ErrLeaveIncomplete)
		case <-ticker.C:
		}
	}
	return nil
}

func (d *Dispatcher) beginLeave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	d.refuseAllWaiting(notHome())
	d.forEachScope(func(state *scopeState) {
		if !state.releasing {
			d.setReleasing(state, true)
		}
	})
	d.requestCycle()
}

// leaveComplete reports whether every scope is idle and without a grant.
func (d *Dispatcher) leaveComplete(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	released := true
	d.forEachScope(func(state *scopeState) {
		released = released && state.idle(now) && (state == d.unkeyedScope || !d.config.Fenced || state.grantEnded(now))
	})
	if !released {
		d.requestCycle()
	}
	return released
}
