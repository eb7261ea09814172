// Package mirror replicates the contents of the store: it lists all keys once and then watches for changes.
package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

const (
	// batchDelay is the pause after a change, so that changes in quick succession are fetched by one call.
	batchDelay = 100 * time.Millisecond
	// minRetryDelay is the delay after the first failure. It doubles with each consecutive failure, up to maxRetryDelay.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Update is a change of the store's contents, or the error of a failed call.
type Update struct {
	// Full is true if Items is the complete contents of the store.
	Full   bool
	Items  []kv.Item
	Events []kv.Event
	// AsOf is the revision up to which the update is complete. It is zero if that is not known.
	AsOf kv.Revision
	// Err is the error of a failed call. All other fields are empty then.
	Err error
}

// Mirror follows the contents of a store.
type Mirror struct {
	store        kv.Store
	watchTimeout time.Duration
	deliver      func(context.Context, Update)
}

// New returns a mirror that passes updates to deliver. Each watch call ends after watchTimeout, which also bounds the
// time until a dead connection is detected.
func New(store kv.Store, watchTimeout time.Duration, deliver func(context.Context, Update)) *Mirror {
	return &Mirror{store: store, watchTimeout: watchTimeout, deliver: deliver}
}

// Run follows the store from revision asOf until the context is done. It starts with a listing if asOf is zero, and with
// another one whenever the history after the last known revision is gone.
func (m *Mirror) Run(ctx context.Context, asOf kv.Revision) {
	failures := 0
	for ctx.Err() == nil {
		var err error
		if asOf.IsZero() {
			asOf, err = m.list(ctx)
		} else {
			asOf, err = m.watch(ctx, asOf)
		}
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, kv.ErrCompacted):
			asOf = kv.Revision{}
		case ctx.Err() == nil:
			failures++
			m.deliver(ctx, Update{Err: err})
			sleep(ctx, retryDelay(failures))
		}
	}
}

// list reads all keys and returns the revision from which to watch.
func (m *Mirror) list(ctx context.Context) (kv.Revision, error) {
	listing, err := m.store.List(ctx, "")
	if err != nil {
		return kv.Revision{}, err
	}
	m.deliver(ctx, Update{Full: true, Items: listing.Items, AsOf: listing.AsOf})
	return listing.AsOf, nil
}

// watch waits for changes and returns the revision from which to continue.
func (m *Mirror) watch(ctx context.Context, asOf kv.Revision) (kv.Revision, error) {
	changes, err := m.store.Watch(ctx, "", asOf, m.watchTimeout)
	if err != nil {
		return asOf, err
	}
	asOf = asOf.Latest(changes.AsOf)
	m.deliver(ctx, Update{Events: changes.Events, AsOf: asOf})
	if len(changes.Events) > 0 {
		sleep(ctx, batchDelay)
	}
	return asOf, nil
}

// retryDelay returns the delay after a number of consecutive failures. It is randomized, so that the processes do not
// all retry at the same time.
func retryDelay(failures int) time.Duration {
	delay := minRetryDelay
	for range failures - 1 {
		delay = min(2*delay, maxRetryDelay)
	}
	return delay/2 + rand.N(delay)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
