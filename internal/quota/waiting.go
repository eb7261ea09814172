package quota

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/urgency"
)

// Waiting is the number of requests that wait for a permit, by level of urgency.
type Waiting [urgency.Levels]int

// Waits are the expected times until a permit is issued for another request, by level of urgency.
type Waits [urgency.Levels]time.Duration

// remove removes requests, the most urgent first.
func (w *Waiting) remove(count int) {
	for level := range w {
		removed := min(count, w[level])
		w[level] -= removed
		count -= removed
	}
}
