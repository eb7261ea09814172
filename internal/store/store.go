// Package store defines the interface to the platform's key-value service. It provides an in-memory implementation
// with fault injection, and an HTTP client and server.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Errors that all implementations return. Match them with errors.Is.
var (
	ErrNotFound    = errors.New("key does not exist in the store")
	ErrConflict    = errors.New("key has another version in the store; read it and decide again")
	ErrUnavailable = errors.New("store did not answer; read the key back before the write is repeated")
	ErrTooLarge    = errors.New("value exceeds 1 MB; split it")
	ErrLeaseLost   = errors.New("lease has lapsed; acquire it again")
)

// Entry is a key with its value and version.
type Entry struct {
	Key   string
	Value []byte
	// Version increases with each write of the key. 0 means that the key does not exist. A store that was restored
	// from a backup can return an older version again, but never assigns one version to two values.
	Version uint64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key has the given version, and returns ErrConflict otherwise; version 0
	// creates the key. After ErrUnavailable the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (Entry, error)
	// Watch blocks until the key has a version greater than version and returns the entry. It counts as one call,
	// however long it blocks.
	Watch(ctx context.Context, key string, version uint64) (Entry, error)
	// Acquire acquires the named lease for holder, or returns ErrConflict if another holder has it.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) error
	// Renew extends the lease, or returns ErrLeaseLost if holder no longer has it.
	Renew(ctx context.Context, name, holder string, ttl time.Duration) error
}
