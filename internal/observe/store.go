package observe

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

// Store wraps a store and counts the calls to it.
type Store struct {
	store   kv.Store
	metrics *Metrics
}

var _ kv.Store = (*Store)(nil)

// NewStore returns a wrapper that forwards calls to store and counts them in metrics.
func NewStore(store kv.Store, metrics *Metrics) *Store { return &Store{store: store, metrics: metrics} }

// errorNames maps errors to values of the result label.
var errorNames = []struct {
	err  error
	name string
}{
	{kv.ErrConflict, "conflict"},
	{kv.ErrNotFound, "not-found"},
	{kv.ErrLeaseNotFound, "lease-not-found"},
	{kv.ErrCompacted, "compacted"},
	{kv.ErrUnavailable, "unavailable"},
}

func (s *Store) count(kind string, err error) {
	if err == nil {
		s.metrics.CountStoreCall(kind, "ok")
		return
	}
	for _, result := range errorNames {
		if errors.Is(err, result.err) {
			s.metrics.CountStoreCall(kind, result.name)
			return
		}
	}
	s.metrics.CountStoreCall(kind, "unknown")
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) (kv.Listing, error) {
	listing, err := s.store.List(ctx, prefix)
	s.count("list", err)
	return listing, err
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Changes, error) {
	changes, err := s.store.Watch(ctx, prefix, after, wait)
	s.count("watch", err)
	return changes, err
}

// Commit implements kv.Store.
func (s *Store) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
	revision, err := s.store.Commit(ctx, txn)
	s.count("commit", err)
	return revision, err
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Item, error) {
	item, err := s.store.Get(ctx, key)
	s.count("get", err)
	return item, err
}

// GrantLease implements kv.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	lease, err := s.store.GrantLease(ctx, ttl)
	s.count("grant-lease", err)
	return lease, err
}

// RenewLease implements kv.Store.
func (s *Store) RenewLease(ctx context.Context, id kv.LeaseID) (kv.Era, error) {
	era, err := s.store.RenewLease(ctx, id)
	s.count("keep-lease", err)
	return era, err
}

// RevokeLease implements kv.Store.
func (s *Store) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	err := s.store.RevokeLease(ctx, id)
	s.count("end-lease", err)
	return err
}
