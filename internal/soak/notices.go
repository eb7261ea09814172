package soak

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// leaveTime is the shortest time for which a server that says that it leaves goes on serving.
	leaveTime = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a server wants the next request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// minLateness and maxLateness bound how late the store carries out a write that got no answer.
	minLateness = time.Second
	maxLateness = 6 * time.Second
)

// leave lets a server say that it leaves, with an entry that stays ready, and then starts its next incarnation.
func (d *deployment) leave(b *backend, duration, restartDelay time.Duration) error {
	b.options.Notices.Leave()
	time.Sleep(leaveTime + duration)
	return b.restart(restartDelay)
}

// turnAway lets a server turn all requests away and name the time after which it wants the next one.
func (d *deployment) turnAway(b *backend, duration, retryAfter time.Duration) error {
	b.options.Notices.TurnAway(duration, retryAfter)
	time.Sleep(duration + retryAfter)
	return nil
}

// restartWithLateEntry restarts a server, and lets the store carry out a write of the incarnation before afterwards.
func (d *deployment) restartWithLateEntry(b *backend, restartDelay, lateness time.Duration) error {
	ctx := context.Background()
	key := platform.ServersPrefix + b.options.ID
	item, err := d.store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		// Its lease has just expired.
		return b.restart(restartDelay)
	}
	if err != nil {
		return errors.Wrap(err, "read the entry of a server")
	}
	if err := b.restart(restartDelay); err != nil {
		return err
	}
	time.Sleep(lateness)
	_, err = d.store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: key, Value: item.Value}}})
	return errors.Wrap(err, "write the entry of an earlier incarnation")
}

// checkNotices records the requests that arrived against what a server had said of itself.
func (d *deployment) checkNotices() {
	for _, b := range d.backends {
		for _, violation := range b.options.Notices.Violations() {
			d.checker.RecordUnwanted(b.options.ID, violation)
		}
	}
}
