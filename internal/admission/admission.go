// Package admission decides whether a request that finds no room waits or is refused, who goes first, and when
// a refused caller should come back. It is pure.
//
// It answers more requests than the backend servers can run: a request that cannot be served in time is refused
// when it arrives, because waiting for a refusal helps nobody.
package admission

import (
	"cmp"
	"time"
)

// Request is a request that finds no room. Times are counted from the start of the process.
type Request struct {
	Arrived time.Duration
	// TargetAt is when the latency objective ends.
	TargetAt time.Duration
	// Deadline is when the caller, or the route, stops waiting.
	Deadline time.Duration
	// Priority is the rank of the route. 0 is the most urgent.
	Priority int
}

const (
	// patienceShare is the share of the time left that a request may be expected to wait although it then misses its
	// latency objective. Longer queues would make all requests late and end in late refusals.
	patienceShare = 0.2
	// shortestReturn and longestReturn bound how soon a refused caller is asked to come back.
	shortestReturn = 50 * time.Millisecond
	longestReturn  = time.Second
)

// ShouldQueue reports whether a request that is expected to wait and then run for some time should wait.
func ShouldQueue(r Request, now, wait, work time.Duration) bool {
	onTime := r.TargetAt - now - work
	late := time.Duration(patienceShare * float64(r.Deadline-now-work))
	return wait <= max(onTime, late)
}

// CannotMeetDeadline reports whether a waiting request can no longer be answered in time.
func CannotMeetDeadline(r Request, now, work time.Duration) bool {
	const leastShare = 0.7
	return now+time.Duration(leastShare*float64(work)) > r.Deadline
}

// RetryAfter returns when a refused caller should come back: when the requests that wait now have been served.
func RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, shortestReturn), longestReturn)
}

// Before reports whether a goes before b: the more urgent route first, then requests that can still meet their
// latency objective, then the earlier one.
func Before(a, b Request, now, work time.Duration) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	aLate, bLate := now+work > a.TargetAt, now+work > b.TargetAt
	if aLate != bLate {
		return bLate
	}
	return cmp.Less(a.Arrived, b.Arrived)
}
