package metrics

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// InstrumentStore wraps s to count its calls. Each call is counted once, by its result, when it returns.
func (m *Metrics) InstrumentStore(s store.Store) store.Store {
	return &instrumentedStore{store: s, metrics: m}
}

type instrumentedStore struct {
	store   store.Store
	metrics *Metrics
}

func (s *instrumentedStore) count(call store.Call, err error) {
	s.metrics.storeCalls.WithLabelValues(string(call), resultLabel(err)).Inc()
}

// resultLabel maps errors to a fixed set of label values, which bounds the number of time series.
func resultLabel(err error) string {
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
func (s *instrumentedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, err := s.store.Get(ctx, key)
	s.count(store.CallGet, err)
	return entry, err
}

// CompareAndSwap implements store.Store.
func (s *instrumentedStore) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (store.Entry, error) {
	entry, err := s.store.CompareAndSwap(ctx, key, version, value)
	s.count(store.CallCompareAndSwap, err)
	return entry, err
}

// Watch implements store.Store.
func (s *instrumentedStore) Watch(ctx context.Context, key string, version uint64) (store.Entry, error) {
	entry, err := s.store.Watch(ctx, key, version)
	s.count(store.CallWatch, err)
	return entry, err
}

// Acquire implements store.Store.
func (s *instrumentedStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) error {
	err := s.store.Acquire(ctx, name, holder, ttl)
	s.count(store.CallAcquire, err)
	return err
}

// Renew implements store.Store.
func (s *instrumentedStore) Renew(ctx context.Context, name, holder string, ttl time.Duration) error {
	err := s.store.Renew(ctx, name, holder, ttl)
	s.count(store.CallRenew, err)
	return err
}
