package ownership

import "github.com/cockroachdb/errors"

// Errors of orders and ownership tables.
var (
	// ErrNoAnswer means that the outcome of an order is unknown: it may have been executed or may be executed later.
	ErrNoAnswer = errors.New("no answer from backend server; the order may have been executed and must be sent again")
	// ErrHigherToken means that the backend server has seen a higher fencing token on one of the keys.
	ErrHigherToken = errors.New("backend server has seen a higher fencing token; a new token must be recorded")
	// ErrOtherServer means that another backend server now uses the address, so the intended one has terminated.
	ErrOtherServer = errors.New("address is used by another backend server; the holder has terminated")
	// ErrTable means that a recorded table or a delta is invalid.
	ErrTable = errors.New("invalid ownership table")
)
