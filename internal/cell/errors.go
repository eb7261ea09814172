package cell

import "github.com/cockroachdb/errors"

// Errors of the package. Use errors.Is.
var (
	// ErrTableBase means that a delta does not continue the table.
	ErrTableBase = errors.New("table delta does not continue the local table; ask the holder for the whole table")
	// ErrTableShape means that a delta is inconsistent.
	ErrTableShape = errors.New("table delta has columns of unequal length; the sender is faulty or of another version")
	// ErrTransition means that an event does not fit the state.
	ErrTransition = errors.New("event does not fit the state; report the sequence of events as a fault of this package")
)
