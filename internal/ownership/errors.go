package ownership

import "github.com/cockroachdb/errors"

// Errors of orders and ownership tables.
var (
	// ErrOutcomeUnknown means that the outcome of an order is unknown: it may have been executed or may be executed
	// later.
	ErrOutcomeUnknown = errors.New("no response from backend server; the order may have been executed and must be sent again")
	// ErrNotSent means that no byte of an order was sent.
	ErrNotSent = errors.New("no connection to the backend server; the order was not sent and is sent again")
	// ErrRejected means that the backend server at the address takes no orders, and has not executed this one.
	ErrRejected = errors.New("the backend server at the address takes no orders; the order was not executed")
	// ErrStaleToken means that the backend server has seen a higher fencing token on one of the keys.
	ErrStaleToken = errors.New("backend server has seen a higher fencing token; a new token must be recorded")
	// ErrServerReplaced means that another backend server now uses the address, so the intended one has terminated.
	ErrServerReplaced = errors.New("address is used by another backend server; the holder has terminated")
	// ErrInvalidTable means that a recorded table or a delta is invalid.
	ErrInvalidTable = errors.New("invalid ownership table")
)
