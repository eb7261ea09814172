package kv

import "github.com/cockroachdb/errors"

// Errors of a store. Each message tells the caller how to proceed.
var (
	// ErrConflict means that a condition of a transaction does not hold. Nothing was written.
	ErrConflict = errors.New("a condition of the transaction does not hold; read the keys again")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found; create it with a condition on revision 0")
	// ErrLeaseNotFound means that the lease does not exist or has expired.
	ErrLeaseNotFound = errors.New("lease not found; request a new one and write its keys again")
	// ErrCompacted means that the store no longer has the history after a revision.
	ErrCompacted = errors.New("history was compacted; list the prefix again")
	// ErrUnavailable means that the store rejected the call without executing it.
	ErrUnavailable = errors.New("store rejected the call without executing it; retry later")
	// ErrOutcomeUnknown means that no response was received: the call may have been executed, or may still be.
	ErrOutcomeUnknown = errors.New("store did not answer; read the keys back before relying on either outcome")
)
