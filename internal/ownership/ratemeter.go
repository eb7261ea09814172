package ownership

import (
	"math"
	"time"
)

// RateMeter measures the request rate of each key as an exponentially weighted mean.
type RateMeter struct {
	halfLife time.Duration
	// weights holds counts as of last, decayed.
	weights []float64
	last    time.Duration
	// started is when the first request was counted.
	started time.Duration
	begun   bool
}

// NewRateMeter returns a meter for a number of keys.
func NewRateMeter(keys int, halfLife time.Duration) *RateMeter {
	return &RateMeter{halfLife: halfLife, weights: make([]float64, keys)}
}

// Advance lets earlier requests count less.
func (m *RateMeter) Advance(now time.Duration) {
	if !m.begun {
		m.begun, m.started, m.last = true, now, now
	}
	if now <= m.last {
		return
	}
	factor := math.Exp2(-float64(now-m.last) / float64(m.halfLife))
	for i := range m.weights {
		m.weights[i] *= factor
	}
	m.last = now
}

// Add counts requests for a key.
func (m *RateMeter) Add(key, count int) {
	if key >= 0 && key < len(m.weights) {
		m.weights[key] += float64(count)
	}
}

// Rate implements Load. A meter that has just begun scales up what it has seen.
func (m *RateMeter) Rate(key int) float64 {
	window := m.halfLife.Seconds() / math.Ln2
	seen := 1 - math.Exp(-(m.last-m.started).Seconds()/window)
	const leastSeen = 0.1
	return m.weights[key] / (window * max(seen, leastSeen))
}
