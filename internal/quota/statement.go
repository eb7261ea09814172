package quota

import "time"

// Statement is what a backend server last stated about its request rate.
type Statement struct {
	// Limited is true if the server named a limit.
	Limited bool
	// Limit is the number of requests a second that the server takes from all gateways together.
	Limit float64
	// At is a time after which the server cannot have stated anything older. It is the arrival of a response that named
	// a limit, and the time at which the request was sent for a response that named none.
	At time.Duration
}

// FromResponse returns the statement in a response to a request that was sent at a time and answered by now. Responses
// may arrive in another order than the server sent them, and a limit must not end because of an older response.
func FromResponse(limit float64, limited bool, sentAt, now time.Duration) Statement {
	if limited {
		return Statement{Limited: true, Limit: limit, At: now}
	}
	return Statement{At: sentAt}
}

// NewerThan reports whether the statement replaces another one.
func (s Statement) NewerThan(other Statement) bool { return s.At > other.At }
