// Package store is the interface to the platform's key-value service and its stand-in.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

// Errors of every implementation. Use errors.Is.
var (
	ErrNotFound    = errors.New("key does not exist in the store")
	ErrConflict    = errors.New("key has another version in the store; read it and decide again")
	ErrUnavailable = errors.New("store did not answer; read the key back before the write is repeated")
	ErrTooLarge    = errors.New("value exceeds 1 MB; split it")
	ErrLeaseLost   = errors.New("lease has lapsed; acquire it again")
)

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version grows with each write of the key. 0 means that the key does not exist. A store that was restored
	// from a backup can show an older version again, but never gives one version to two values.
	Version uint64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key has the given version; version 0 creates the key.
	// It returns ErrConflict otherwise. After ErrUnavailable the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (Entry, error)
	// Watch waits until the key has a version greater than version and returns the entry. It counts as one
	// call while it waits.
	Watch(ctx context.Context, key string, version uint64) (Entry, error)
	// Acquire takes the named lease for holder, or ErrConflict if another holder has it.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) error
	// Renew extends the lease, or returns ErrLeaseLost.
	Renew(ctx context.Context, name, holder string, ttl time.Duration) error
}
