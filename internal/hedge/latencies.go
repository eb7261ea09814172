package hedge

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of recent response times that decide.
	windowSize = 256
	// minResponses is the number of response times below which nothing is known of the slowest ones.
	minResponses = 64
	// refreshInterval is the number of new response times after which the quantile is computed again.
	refreshInterval = 16
)

// latencies are the recent response times of a service.
type latencies struct {
	times []time.Duration
	next  int
	// quantile is the value that was computed last, and age the number of response times since.
	quantile time.Duration
	age      int
}

// observe records a response time.
func (l *latencies) observe(took time.Duration) {
	if len(l.times) < windowSize {
		l.times = append(l.times, took)
	} else {
		l.times[l.next] = took
		l.next = (l.next + 1) % windowSize
	}
	l.age++
}

// above returns the time that a share of the recent responses exceeded. It returns false if there are too few.
func (l *latencies) above(share float64) (time.Duration, bool) {
	if len(l.times) < minResponses {
		return 0, false
	}
	if l.quantile == 0 || l.age >= refreshInterval {
		sorted := slices.Sorted(slices.Values(l.times))
		l.quantile, l.age = sorted[int((1-share)*float64(len(sorted)-1))], 0
	}
	return l.quantile, true
}
