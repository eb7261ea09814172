package home

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLeaveIncomplete is returned by Leave if the context ended before all requests in progress.
var ErrLeaveIncomplete = errors.New("requests are still in progress at the backend server; wait for the end of the home lease")

// leavePoll is the interval at which Leave looks whether requests are in progress.
const leavePoll = 5 * time.Millisecond

// Leave hands the backend server over: waiting requests are refused as not run, requests in progress go on
// to their end, and then all grants are withdrawn. After a nil error the server has no work of this home.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.beginLeave()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for !d.left(time.Now()) {
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
	d.refuseAll(notHome())
	d.scopes(func(state *scopeState) {
		if !state.releasing {
			d.setReleasing(state, true)
		}
	})
	d.wakeControl()
}

// left reports whether every scope is released.
func (d *Dispatcher) left(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := true
	d.scopes(func(state *scopeState) {
		all = all && state.idle(now) && (state == d.whole || !d.config.Fenced || state.ungranted(now))
	})
	if !all {
		d.wakeControl()
	}
	return all
}
