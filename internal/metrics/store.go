package metrics

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// InstrumentStore returns s with its calls counted. A call counts once, with its result, when it ends.
func (m *Metrics) InstrumentStore(s store.Store) store.Store {
	return &countedStore{store: s, metrics: m}
}

type countedStore struct {
	store   store.Store
	metrics *Metrics
}

func (c *countedStore) count(call store.Call, err error) {
	c.metrics.storeCalls.WithLabelValues(string(call), resultOf(err)).Inc()
}

// resultOf keeps the number of label values small.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrNotFound):
		return "not-found"
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case errors.Is(err, store.ErrLeaseLost):
		return "lease-lost"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	default:
		return "error"
	}
}

// Get implements store.Store.
func (c *countedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, err := c.store.Get(ctx, key)
	c.count(store.CallGet, err)
	return entry, err
}

// CompareAndSwap implements store.Store.
func (c *countedStore) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (store.Entry, error) {
	entry, err := c.store.CompareAndSwap(ctx, key, version, value)
	c.count(store.CallCompareAndSwap, err)
	return entry, err
}

// Watch implements store.Store.
func (c *countedStore) Watch(ctx context.Context, key string, version uint64) (store.Entry, error) {
	entry, err := c.store.Watch(ctx, key, version)
	c.count(store.CallWatch, err)
	return entry, err
}

// Acquire implements store.Store.
func (c *countedStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) error {
	err := c.store.Acquire(ctx, name, holder, ttl)
	c.count(store.CallAcquire, err)
	return err
}

// Renew implements store.Store.
func (c *countedStore) Renew(ctx context.Context, name, holder string, ttl time.Duration) error {
	err := c.store.Renew(ctx, name, holder, ttl)
	c.count(store.CallRenew, err)
	return err
}
