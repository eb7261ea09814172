// Package suspicion tells how far the answers of a backend server can be relied on. It is pure.
//
// It answers servers that are silent, refuse connections, lose answers or fail a part of their requests while
// their health check is good. It looks at outcomes of real requests only, because a probe costs a slot.
package suspicion

import "time"

// Outcome is how a request at a backend server ended.
type Outcome int

const (
	// OK is an answer that is not a failure of the server.
	OK Outcome = iota
	// Failed is an answer that reports a failure of the server.
	Failed
	// Refused is an answer that says the request was not run although the server had room.
	Refused
	// ConnectionLost is a connection that ended, or an answer that could not be used.
	ConnectionLost
	// NoResponse is a request without an answer in time, or a connection that could not be opened.
	NoResponse
)

const (
	// failureWeight is the weight of the newest outcome in the share of failures.
	failureWeight = 0.12
	// suspendAfter is the number of silent or lost requests in a row after which a server gets no requests for a while.
	suspendAfter = 2
	// firstSuspension doubles with each further failure, up to longestSuspension.
	firstSuspension   = 250 * time.Millisecond
	longestSuspension = 2 * time.Second
	// forgetAfter halves the share of failures of a server that gets no requests.
	forgetAfter = 3 * time.Second
)

// Tracker is what is known about one backend server. The zero value is a server without failures.
type Tracker struct {
	share      float64
	inRow      int
	until      time.Duration
	lastChange time.Duration
}

// Observe takes the outcome of a request.
func (r *Tracker) Observe(outcome Outcome, now time.Duration) {
	r.fade(now)
	bad := 0.0
	if outcome != OK {
		bad = 1
	}
	r.share += failureWeight * (bad - r.share)
	switch outcome {
	case OK, Failed, Refused:
		r.inRow = 0
		r.until = 0
	case ConnectionLost, NoResponse:
		r.inRow++
		if r.inRow >= suspendAfter {
			r.until = now + suspension(r.inRow-suspendAfter)
		}
	}
}

func suspension(doublings int) time.Duration {
	length := firstSuspension
	for range doublings {
		length = min(2*length, longestSuspension)
	}
	return length
}

// fade lets old failures count less.
func (r *Tracker) fade(now time.Duration) {
	for now-r.lastChange >= forgetAfter && r.share > 0.01 {
		r.share /= 2
		r.lastChange += forgetAfter
	}
	r.lastChange = max(r.lastChange, now)
}

// Suspended reports whether the server should get no request now.
func (r *Tracker) Suspended(now time.Duration) bool { return now < r.until }

// FailureRate returns the share of failures among the last requests.
func (r *Tracker) FailureRate(now time.Duration) float64 {
	r.fade(now)
	return r.share
}
