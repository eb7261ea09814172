package serverstate

import "time"

// Statement is what a backend server says of itself in one response.
type Statement struct {
	// Leaving is true if the server is shutting down.
	Leaving bool
}

// Notice is what an incarnation of a backend server has said of itself. It holds until the incarnation ends.
type Notice struct {
	// Leaving is true once the server has said that it shuts down. LeavingSince is when this gateway learned it.
	Leaving      bool
	LeavingSince time.Duration
}

func (n *Notice) observe(statement Statement, now time.Duration) bool {
	if !statement.Leaving || n.Leaving {
		return false
	}
	n.Leaving, n.LeavingSince = true, now
	return true
}

// IsZero reports whether the server has said nothing.
func (n Notice) IsZero() bool { return n == Notice{} }
