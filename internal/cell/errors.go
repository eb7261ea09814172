package cell

import "github.com/cockroachdb/errors"

// Errors of the package, for use with errors.Is.
var (
	// ErrTableBase means that a delta does not start at the version of the table.
	ErrTableBase = errors.New("table delta does not start at the local version; request the whole table from the holder")
	// ErrTableShape means that a delta is malformed.
	ErrTableShape = errors.New("malformed table delta; the sender is faulty or runs another version")
	// ErrTransition means that the state machine has no transition for an event in its current state.
	ErrTransition = errors.New("no transition for the event in this state; report the sequence of events as a bug in this package")
)
