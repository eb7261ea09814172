package admission

import (
	"math"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/urgency"
)

// mixPeriod is the time constant of the moving average of the demand at each level.
const mixPeriod = 5 * time.Second

// Mix is the recent demand for a service by level of urgency. The zero value is ready to use.
type Mix struct {
	counts    [urgency.Levels]float64
	updatedAt time.Duration
}

// Observe counts a request of a priority.
func (m *Mix) Observe(priority int, now time.Duration) {
	if now > m.updatedAt {
		decay := math.Exp(-(now - m.updatedAt).Seconds() / mixPeriod.Seconds())
		for level := range m.counts {
			m.counts[level] *= decay
		}
		m.updatedAt = now
	}
	m.counts[urgency.Level(priority)]++
}

// MoreUrgent returns the share of the demand that is more urgent than a priority.
func (m *Mix) MoreUrgent(priority int) float64 {
	total, urgent := 0.0, 0.0
	for level, count := range m.counts {
		total += count
		if level < urgency.Level(priority) {
			urgent += count
		}
	}
	if total == 0 {
		return 0
	}
	return urgent / total
}
