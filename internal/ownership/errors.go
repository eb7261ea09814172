package ownership

import "github.com/cockroachdb/errors"

// Errors of orders and tables.
var (
	// ErrOutcomeUnknown means that an order may have been executed, or may be later.
	ErrOutcomeUnknown = errors.New("backend server did not answer the order; send it again")
	// ErrStaleToken means that the backend server has seen a higher token on one of the keys.
	ErrStaleToken = errors.New("backend server has seen a higher fencing token; record a new one")
	// ErrServerReplaced means that another backend server has the address, so the one that was meant has ended.
	ErrServerReplaced = errors.New("another backend server has the address; the holder has ended")
	// ErrInvalidTable means that a recorded table cannot be used.
	ErrInvalidTable = errors.New("ownership table cannot be read; it is planned anew after all grants have run out")
)
