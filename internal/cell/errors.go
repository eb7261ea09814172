package cell

import "github.com/cockroachdb/errors"

// Errors of the package. Use errors.Is.
var (
	// ErrDeltaBase means that a delta does not continue the table.
	ErrDeltaBase = errors.New("table delta does not continue the local table; ask the holder for the whole table")
	// ErrMalformedDelta means that a delta is inconsistent.
	ErrMalformedDelta = errors.New("table delta has columns of unequal length; the sender is faulty or of another version")
	// ErrInvalidTransition means that an event does not fit the state.
	ErrInvalidTransition = errors.New("event does not fit the state; report the sequence of events as a fault of this package")
)
