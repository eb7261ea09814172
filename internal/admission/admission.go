// Package admission decides whether a request that finds no free backend server is queued or rejected, in which
// order queued requests are served, and when the client of a rejected request should retry. It performs no I/O
// and has no clock of its own.
//
// It handles overload, when more requests arrive than the backend servers can execute: a request that cannot be
// served in time is rejected on arrival, because queueing it would only delay the rejection.
package admission

import (
	"cmp"
	"time"
)

// Request is a request for which no backend server has room. Times are relative to the start of the process.
type Request struct {
	// Arrived is when the client first sent the request, as far as known.
	Arrived time.Duration
	// TargetAt is when the latency objective expires, counted from Arrived.
	TargetAt time.Duration
	// Deadline is when the client gives up or the timeout of the route expires.
	Deadline time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
}

const (
	// maxWaitRatio limits the expected wait of a request that will miss its latency objective, as a fraction of
	// the time left until its deadline. Longer queues would make all requests miss the objective, and many would
	// be rejected late.
	maxWaitRatio = 0.2
	// minRetryAfter and maxRetryAfter bound the retry delay that is returned with a rejection.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// ShouldQueue reports whether a request should be queued, given its expected wait and run time.
func ShouldQueue(r Request, now, wait, runTime time.Duration) bool {
	maxOnTimeWait := r.TargetAt - now - runTime
	maxLateWait := time.Duration(maxWaitRatio * float64(r.Deadline-now-runTime))
	return wait <= max(maxOnTimeWait, maxLateWait)
}

// IsLate reports whether a request would miss its latency objective if it was sent now.
func (r Request) IsLate(now, runTime time.Duration) bool { return now+runTime > r.TargetAt }

// CannotMeetDeadline reports whether a queued request can no longer be answered before its deadline.
func CannotMeetDeadline(r Request, now, runTime time.Duration) bool {
	const minRunTimeRatio = 0.7
	return now+time.Duration(minRunTimeRatio*float64(runTime)) > r.Deadline
}

// RetryAfter returns the delay after which the client of a rejected request should retry: the time until the
// requests that are queued now have been served, within fixed bounds.
func RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// holdOffSpread is the time over which the clients of requests that were refused during a hold-off come back.
const holdOffSpread = time.Second

// RetryAfterHoldOff returns the delay after which the client should retry if the backend servers want no requests for some
// time: that time, and a part of holdOffSpread. random is uniform in [0, 1).
func RetryAfterHoldOff(left time.Duration, random float64) time.Duration {
	return left + time.Duration(random*float64(holdOffSpread))
}

// Before reports whether a is served before b: by priority of the route, then requests that can still meet their
// latency objective, then by arrival.
func Before(a, b Request, now, runTime time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	aLate, bLate := a.IsLate(now, runTime), b.IsLate(now, runTime)
	if aLate != bLate {
		return bLate
	}
	return cmp.Less(a.Arrived, b.Arrived)
}
