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
	// watchWait is how long a watch waits for a change. A connection that went silent is noticed after it at the latest.
	watchWait = 5 * time.Second
	// settle is the pause after a change: further changes come with one call then.
	settle = 15 * time.Millisecond
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
	// AsOf is the revision up to which the update is complete.
	AsOf kv.Revision
	// Err is the error of a call, if one failed. The rest is empty then.
	Err error
}

// Mirror follows a store.
type Mirror struct {
	store   kv.Store
	updates chan<- Update
}

// New returns a mirror that sends updates to a channel.
func New(store kv.Store, updates chan<- Update) *Mirror {
	return &Mirror{store: store, updates: updates}
}

// Run follows the store until the context is done.
func (m *Mirror) Run(ctx context.Context) {
	failures := 0
	var asOf kv.Revision
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			asOf, err = m.list(ctx)
			listed = err == nil
		} else {
			asOf, err = m.watch(ctx, asOf)
		}
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, kv.ErrCompacted):
			listed = false
		default:
			failures++
			m.send(ctx, Update{Err: err})
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
	m.send(ctx, Update{Full: true, Items: listing.Items, AsOf: listing.AsOf})
	return listing.AsOf, nil
}

// watch waits for changes and returns the revision from which to go on.
func (m *Mirror) watch(ctx context.Context, asOf kv.Revision) (kv.Revision, error) {
	changes, err := m.store.Watch(ctx, "", asOf, watchWait)
	if err != nil {
		return asOf, err
	}
	m.send(ctx, Update{Events: changes.Events, AsOf: changes.AsOf})
	if len(changes.Events) > 0 {
		pause(ctx, settle)
	}
	return max(asOf, changes.AsOf), nil
}

func (m *Mirror) send(ctx context.Context, update Update) {
	select {
	case m.updates <- update:
	case <-ctx.Done():
	}
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
