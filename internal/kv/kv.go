// Package kv is the interface to a key-value store with revisions, prefixes, transactions, watches and leases.
//
// Everything that has to outlive a process is kept there. Implementations run the contract suite of kvtest.
package kv

import (
	"context"
	"time"
)

// Revision is the position of a change in the order of all changes of the store. 0 is before the first.
type Revision int64

// LeaseID names a lease. 0 is no lease.
type LeaseID int64

// Item is the value of a key.
type Item struct {
	Key   string
	Value []byte
	// Revision is the last change of the key.
	Revision Revision
	// Created is the change that created the key.
	Created Revision
	// Lease is the lease with which the key ends.
	Lease LeaseID
}

// Event is one change of a key.
type Event struct {
	// Item is the key as it was written. A deleted key has no value.
	Item
	Deleted bool
}

// Listing is what a prefix held. Its pages are not one snapshot: a watch from AsOf brings what was missed.
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

// Condition holds if the key was last changed at Revision. Revision 0 means that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a write that happens as a whole if all conditions hold, and not at all otherwise.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is the platform's store. All calls are safe for concurrent use and return one of the errors of this
// package, or the error of the context.
type Store interface {
	// List reads all items with a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits until something with the prefix changed after a revision, for the given time at most.
	// It returns ErrCompacted if the changes are no longer known.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit writes under conditions. It returns ErrConflict if one does not hold, and ErrUnknown if the
	// answer was lost: the write may then happen seconds later, if its conditions still hold.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Get reads one item and returns ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Item, error)
	// GrantLease makes a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease, and returns ErrLeaseNotFound if it has ended.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}
