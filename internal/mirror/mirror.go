// Package mirror follows all keys of the store and reports what changes.
package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

const (
	// settle is the pause after a change: further changes come with one call then.
	settle = 100 * time.Millisecond
	// firstRetry doubles with each failure in a row up to longestRetry.
	firstRetry   = 60 * time.Millisecond
	longestRetry = 500 * time.Millisecond
)

// Update is a change of what the store holds.
type Update struct {
	// Full is true if Items are all that the store holds.
	Full   bool
	Items  []kv.Item
	Events []kv.Event
	// AsOf is the revision up to which the update is complete, or 0 if it does not say.
	AsOf kv.Revision
	// Err is the error of a call, if one failed. The rest is empty then.
	Err error
}

// Mirror follows a store.
type Mirror struct {
	store   kv.Store
	wait    time.Duration
	deliver func(context.Context, Update)
}

// New returns a mirror that hands updates to a function. Each watch waits for a time: a connection that went silent
// is noticed after it at the latest.
func New(store kv.Store, wait time.Duration, deliver func(context.Context, Update)) *Mirror {
	return &Mirror{store: store, wait: wait, deliver: deliver}
}

// Run follows the store from a revision until the context is done. From revision 0 it begins with a listing.
func (m *Mirror) Run(ctx context.Context, asOf kv.Revision) {
	failures := 0
	for ctx.Err() == nil {
		var err error
		if asOf == 0 {
			asOf, err = m.list(ctx)
		} else {
			asOf, err = m.watch(ctx, asOf)
		}
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, kv.ErrCompacted):
			asOf = 0
		case ctx.Err() == nil:
			failures++
			m.deliver(ctx, Update{Err: err})
			pause(ctx, retryPause(failures))
		}
	}
}

// list reads everything and returns the revision from which to watch.
func (m *Mirror) list(ctx context.Context) (kv.Revision, error) {
	listing, err := m.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	m.deliver(ctx, Update{Full: true, Items: listing.Items, AsOf: listing.AsOf})
	return listing.AsOf, nil
}

// watch waits for changes and returns the revision from which to go on.
func (m *Mirror) watch(ctx context.Context, asOf kv.Revision) (kv.Revision, error) {
	changes, err := m.store.Watch(ctx, "", asOf, m.wait)
	if err != nil {
		return asOf, err
	}
	asOf = max(asOf, changes.AsOf)
	m.deliver(ctx, Update{Events: changes.Events, AsOf: asOf})
	if len(changes.Events) > 0 {
		pause(ctx, settle)
	}
	return asOf, nil
}

// retryPause returns the pause after a number of failures in a row. It is random, so that many processes do not
// come back to the store at the same moment.
func retryPause(failures int) time.Duration {
	length := firstRetry
	for range failures - 1 {
		length = min(2*length, longestRetry)
	}
	return length/2 + rand.N(length)
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
