package admission

import "time"

// stopRunTimeFactor is the multiple of its expected run time that a request needs before the process ends. Run times
// vary, and a request that is cut off has an unknown outcome.
const stopRunTimeFactor = 2

// FitsBeforeStop reports whether a request that waits for this long is answered before the process ends at a time.
func FitsBeforeStop(end, now, wait, runTime time.Duration) bool {
	return now+wait+stopRunTimeFactor*runTime <= end
}
