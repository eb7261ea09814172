package assign

import (
	"math"
	"time"
)

// EWMA is an exponentially weighted moving average of a rate, in work per second, computed from counters that are read
// at irregular intervals. The zero value is an empty average.
type EWMA struct {
	rate float64
	// weight is the total weight of all readings so far. Rate divides by it to correct the bias towards zero of an
	// average with few readings.
	weight float64
}

// Add adds the work of the last interval to the average. halfLife is the time in which the weight of a reading halves.
func (e *EWMA) Add(work float64, interval, halfLife time.Duration) {
	if interval <= 0 {
		return
	}
	decay := decayFactor(interval, halfLife)
	e.rate = decay*e.rate + (1-decay)*work/interval.Seconds()
	e.weight = decay*e.weight + 1 - decay
}

// decayFactor returns the factor by which the weight of older readings falls in interval.
func decayFactor(interval, halfLife time.Duration) float64 {
	return math.Exp2(-interval.Seconds() / halfLife.Seconds())
}

// Rate returns the average in work per second.
func (e *EWMA) Rate() float64 {
	if e.weight == 0 {
		return 0
	}
	return e.rate / e.weight
}
