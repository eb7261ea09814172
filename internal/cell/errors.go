package cell

import "github.com/cockroachdb/errors"

// Errors of the package, for use with errors.Is.
var (
	// ErrDeltaBase means that a delta does not start at the version of the table.
	ErrDeltaBase = errors.New("table delta does not start at the local version; request the whole table from the holder")
	// ErrMalformedDelta means that a delta is malformed.
	ErrMalformedDelta = errors.New("malformed table delta; the sender is faulty or runs another version")
	// ErrInvalidTransition means that the state machine has no transition for an event in its current state.
	ErrInvalidTransition = errors.New("no transition for the event in this state; report the sequence of events as a bug in this package")
)
