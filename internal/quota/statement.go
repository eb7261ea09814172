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
	return Statement{At: sentAt - clockMargin}
}

const (
	// clockMargin exceeds the error of a time that another gateway stated as an age, which is the time of its message.
	clockMargin = 100 * time.Millisecond
	// minLimit is the limit, in requests a second, that a lower one counts as. The response to a request is the only sign
	// that a limit has ended. The 5 requests that a server takes beyond its limit in 4 s include them.
	minLimit = 0.25
)

// effectiveLimit returns the number of requests a second to send.
func (s Statement) effectiveLimit() float64 { return max(s.Limit, minLimit) }

// sameLimit reports whether two statements name the same limit, or none.
func (s Statement) sameLimit(other Statement) bool {
	return s.Limited == other.Limited && s.Limit == other.Limit
}

// NewerThan reports whether the statement replaces another one.
func (s Statement) NewerThan(other Statement) bool { return s.At > other.At }
