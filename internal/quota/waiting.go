package quota

import "time"

// Levels is the number of levels of urgency, of which 0 is the most urgent.
const Levels = 4

// Level returns the level of urgency of a priority. Priorities of Levels-1 and above share the last level.
func Level(priority int) int { return min(max(priority, 0), Levels-1) }

// Waiting is the number of requests that wait for a permit, by level of urgency.
type Waiting [Levels]int

// Waits are the expected times until a permit is issued for another request, by level of urgency.
type Waits [Levels]time.Duration

// remove removes requests, the most urgent first.
func (w *Waiting) remove(count int) {
	for level := range w {
		removed := min(count, w[level])
		w[level] -= removed
		count -= removed
	}
}
