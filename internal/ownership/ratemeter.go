package ownership

import (
	"math"
	"time"
)

// RateMeter measures the request rate of each key as an exponentially weighted moving average.
type RateMeter struct {
	halfLife time.Duration
	// counts holds the request counts of the keys, decayed to updatedAt.
	counts    []float64
	updatedAt time.Duration
	// startedAt is the time of the first call of Advance.
	startedAt time.Duration
	started   bool
}

// negligibleCount is a count that is as good as none. Counts that decay without end would become denormal numbers, which are
// slow to compute with.
const negligibleCount = 1e-9

// NewRateMeter returns a meter for the given number of keys.
func NewRateMeter(keys int, halfLife time.Duration) *RateMeter {
	return &RateMeter{halfLife: halfLife, counts: make([]float64, keys)}
}

// Advance decays the counts up to the current time.
func (m *RateMeter) Advance(now time.Duration) {
	if !m.started {
		m.started, m.startedAt, m.updatedAt = true, now, now
	}
	if now <= m.updatedAt {
		return
	}
	factor := math.Exp2(-float64(now-m.updatedAt) / float64(m.halfLife))
	for i := range m.counts {
		if m.counts[i] *= factor; m.counts[i] < negligibleCount {
			m.counts[i] = 0
		}
	}
	m.updatedAt = now
}

// Add counts requests for a key. It ignores keys out of range.
func (m *RateMeter) Add(key, count int) {
	if key >= 0 && key < len(m.counts) {
		m.counts[key] += float64(count)
	}
}

// Rate implements Load. Shortly after the start it extrapolates from the part of the averaging window that has been
// observed.
func (m *RateMeter) Rate(key int) float64 { return m.counts[key] / m.observedSeconds() }

// observedSeconds returns the weight of the averaging window that has been observed.
func (m *RateMeter) observedSeconds() float64 {
	window := m.halfLife.Seconds() / math.Ln2
	observedShare := 1 - math.Exp(-(m.updatedAt-m.startedAt).Seconds()/window)
	const minObservedShare = 0.1
	return window * max(observedShare, minObservedShare)
}

// samplePeriod returns the time in seconds over which requests would have to be counted to give rates as exact as these.
func (m *RateMeter) samplePeriod() float64 {
	return averagedSeconds(m.halfLife) * m.observedSeconds() / (m.halfLife.Seconds() / math.Ln2)
}
