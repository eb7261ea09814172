package ownership

import "github.com/cockroachdb/errors"

// Errors of orders and tables.
var (
	// ErrNoAnswer means that an order may have been executed, or may be later.
	ErrNoAnswer = errors.New("backend server did not answer the order; send it again")
	// ErrHigherToken means that the backend server has seen a higher token on one of the keys.
	ErrHigherToken = errors.New("backend server has seen a higher fencing token; record a new one")
	// ErrOtherServer means that another backend server has the address, so the one that was meant has ended.
	ErrOtherServer = errors.New("another backend server has the address; the holder has ended")
	// ErrTable means that a recorded table cannot be used.
	ErrTable = errors.New("ownership table cannot be read; it is planned anew after all grants have run out")
)
