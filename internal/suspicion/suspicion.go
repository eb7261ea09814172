// Package suspicion detects unhealthy backend servers from the outcomes of the requests sent to them (passive
// outlier detection). It performs no I/O and has no clock of its own.
//
// It covers servers that stop responding, refuse connections, drop connections before the response, or fail a
// fraction of their requests while their health check still passes. Only real requests are evaluated, because a
// probe would occupy a slot.
package suspicion

import (
	"math"
	"time"
)

// Outcome is the result of a request as far as the health of its backend server is concerned.
type Outcome int

const (
	// NoInformation is a request that was not sent, or whose client left before the response. It is not counted.
	NoInformation Outcome = iota
	// OK is a response that does not indicate a server failure.
	OK
	// Failed is a response that reports a server failure.
	Failed
	// Refused is a response that says the request was not executed. It counts as a failure, because requests are sent
	// only to servers that are expected to have room.
	Refused
	// Late is a request that was not answered within a time limit shorter than the expected response time. It counts as
	// a failure, but does not tell whether the server responds.
	Late
	// ConnectionLost is a connection that closed before the response was complete, or a response that could not be used.
	// The server runs; some servers reset connections while they are full.
	ConnectionLost
	// NoResponse is a request that was not answered in time, or a connection that could not be established.
	NoResponse
)

const (
	// failureSmoothing is the weight of the newest outcome in the moving average of the failure rate.
	failureSmoothing = 0.12
	// suspendThreshold is the weight of consecutive requests without a response from which a server is suspended. A
	// request that was not answered weighs noResponseWeight, a lost connection 1.
	suspendThreshold = 2 * noResponseWeight
	noResponseWeight = 4
	// initialSuspension is the length of the first suspension. It doubles with each further consecutive failure,
	// up to maxSuspension.
	initialSuspension = 250 * time.Millisecond
	maxSuspension     = 2 * time.Second
	// failureRateHalfLife is the time in which the failure rate of a server without requests is halved.
	failureRateHalfLife = 3 * time.Second
)

// Tracker holds the failure statistics of one backend server. The zero value is a server without failures.
type Tracker struct {
	failureRate float64
	// weight is the weight of the requests without a response since the last one. suspensions counts the suspensions in
	// a row.
	weight         int
	suspensions    int
	suspendedUntil time.Duration
	lastObserved   time.Duration
}

// Observe records the outcome of a request.
func (t *Tracker) Observe(outcome Outcome, now time.Duration) {
	if outcome == NoInformation {
		return
	}
	t.failureRate, t.lastObserved = t.FailureRate(now), now
	failure := 0.0
	if outcome != OK {
		failure = 1
	}
	t.failureRate += failureSmoothing * (failure - t.failureRate)
	switch outcome {
	case OK, Failed, Refused:
		t.weight, t.suspensions = 0, 0
		t.suspendedUntil = 0
	case NoInformation, Late:
	case ConnectionLost:
		t.addWeight(1, now)
	case NoResponse:
		t.addWeight(noResponseWeight, now)
	}
}

// addWeight adds a request without a response, and suspends the server from suspendThreshold.
func (t *Tracker) addWeight(weight int, now time.Duration) {
	t.weight += weight
	if t.weight >= suspendThreshold {
		t.suspendedUntil = now + suspensionAfter(t.suspensions)
		t.suspensions++
	}
}

// suspensionAfter returns the length of a suspension after the given number of doublings.
func suspensionAfter(doublings int) time.Duration {
	duration := initialSuspension
	for range doublings {
		duration = min(2*duration, maxSuspension)
	}
	return duration
}

// Suspended reports whether the server should receive no requests at the given time.
func (t *Tracker) Suspended(now time.Duration) bool { return now < t.suspendedUntil }

// FailureRate returns the moving average of the failure rate, halved for each half-life since the last outcome.
func (t *Tracker) FailureRate(now time.Duration) float64 {
	halfLives := (now - t.lastObserved) / failureRateHalfLife
	return math.Ldexp(t.failureRate, -int(halfLives))
}
