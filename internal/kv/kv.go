// Package kv defines the interface to a key-value store with revisions, prefix listings, transactions, watches and
// leases.
//
// The store holds all state that has to outlive a process. Each implementation runs the contract tests of package
// kvtest.
package kv

import (
	"context"
	"time"
)

// LeaseID identifies a lease. 0 means no lease.
type LeaseID int64

// Item is a key with its value and metadata.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of the key.
	Revision Revision
	// Created is the revision at which the key was created.
	Created Revision
	// Lease is the lease to which the key is attached.
	Lease LeaseID
}

// Event is a change of one key.
type Event struct {
	// Item is the key after the change. It has no value if the key was deleted.
	Item
	Deleted bool
}

// Listing is the result of listing a prefix. The store may return it in pages, which are not one consistent snapshot: a
// watch from AsOf returns the changes that happened meanwhile.
type Listing struct {
	Items []Item
	// AsOf is the revision of the store when the first page was read.
	AsOf Revision
}

// Changes are the events after a revision.
type Changes struct {
	Events []Event
	// AsOf is the revision from which the next watch continues.
	AsOf Revision
}

// Condition holds if the last change of the key was at Revision. The zero Revision requires that the key does not exist.
// A Revision of an earlier era never holds.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key, attached to Lease if it is not 0.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic write: it is applied if all conditions hold, and has no effect otherwise.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is a client of the platform's store. All methods are safe for concurrent use and return one of the errors of
// this package, or the error of the context.
type Store interface {
	// List returns all items whose key has the prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits at most the given time for changes to keys with the prefix after a revision. It returns
	// ErrCompacted if the history after that revision is no longer available, also because the era has ended.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit applies a transaction. It returns ErrConflict if a condition does not hold, and ErrOutcomeUnknown if the
	// response was lost: the write may then still happen seconds later, if its conditions hold at that time.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Get returns one item, or ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// GrantLease creates a lease that expires after ttl without renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease and returns the era in which it did. The lease may be part of a copy that lacks the keys
	// attached to it. It returns ErrLeaseNotFound if the lease has expired.
	RenewLease(ctx context.Context, id LeaseID) (Era, error)
	// RevokeLease revokes a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, id LeaseID) error
}
