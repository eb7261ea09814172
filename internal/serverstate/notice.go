package serverstate

import "time"

// Statement is what a backend server says of itself in one response.
type Statement struct {
	// Leaving is true if the server is shutting down.
	Leaving bool
	// HoldOff is how long the server wants no requests from this gateway; 0 if it does not say.
	HoldOff time.Duration
	// InvalidHoldOff is true if the server names such a time that can't be used.
	InvalidHoldOff bool
}

// Notice is what an incarnation of a backend server has said of itself. It holds until the incarnation ends.
type Notice struct {
	// Leaving is true once the server has said that it shuts down. LeavingSince is when this gateway learned it.
	Leaving      bool
	LeavingSince time.Duration
	// HoldOff is the last time for which it wanted no requests.
	HoldOff HoldOff
	// invalidHoldOff is true once the server has named a time that can't be used.
	invalidHoldOff bool
}

// Learned tells what is new in a statement.
type Learned struct {
	Leaving, HoldOff, InvalidHoldOff bool
}

// observe applies a statement that arrived now, in the response to a request that was sent at a time. spread is the time over
// which the gateways come back after a hold-off, and position the place of this one in it.
func (n *Notice) observe(statement Statement, sentAt, now, spread time.Duration, position float64) Learned {
	var learned Learned
	if statement.Leaving && !n.Leaving {
		n.Leaving, n.LeavingSince = true, now
		learned.Leaving = true
	}
	if statement.InvalidHoldOff && !n.invalidHoldOff {
		n.invalidHoldOff = true
		learned.InvalidHoldOff = true
	}
	if statement.HoldOff > 0 {
		learned.HoldOff = !n.HoldOff.Active(now)
		n.HoldOff.extend(now, statement.HoldOff, spread, position)
	} else {
		n.HoldOff.answered(sentAt, now)
	}
	return learned
}

// IsZero reports whether the server has said nothing.
func (n Notice) IsZero() bool { return n == Notice{} }
