package kv

import "github.com/cockroachdb/errors"

// Errors of a store. Each message names what the caller can do.
var (
	// ErrConflict means that a condition of a transaction does not hold. Nothing was written.
	ErrConflict = errors.New("a condition of the transaction does not hold; read the keys again")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found; create it under the condition of revision 0")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("lease not found; request a new one and write its keys again")
	// ErrCompacted means that the store no longer has the changes after a revision.
	ErrCompacted = errors.New("history is no longer available; list the prefix again")
	// ErrUnavailable means that the store did nothing.
	ErrUnavailable = errors.New("store did not take the call; repeat it later")
	// ErrOutcomeUnknown means that a call without an answer may have been executed, or may be later.
	ErrOutcomeUnknown = errors.New("store did not answer; read the keys back before relying on either outcome")
)
