package assign

import (
	"math"
	"time"
)

// EWMA is an exponentially weighted moving average of work per second over counters that are read at irregular
// times. The zero value has seen nothing.
type EWMA struct {
	rate float64
	// weight is the share of the average that observations cover. It removes the bias of the first readings.
	weight float64
}

// Add takes the work of the last interval into the average. halfLife is the time after which a reading counts half.
func (e *EWMA) Add(work float64, interval, halfLife time.Duration) {
	if interval <= 0 {
		return
	}
	keep := keepOf(interval, halfLife)
	e.rate = keep*e.rate + (1-keep)*work/interval.Seconds()
	e.weight = keep*e.weight + 1 - keep
}

// keepOf returns the share of an average that is left after interval.
func keepOf(interval, halfLife time.Duration) float64 {
	return math.Exp2(-interval.Seconds() / halfLife.Seconds())
}

// Rate returns the average in work per second.
func (e *EWMA) Rate() float64 {
	if e.weight == 0 {
		return 0
	}
	return e.rate / e.weight
}
