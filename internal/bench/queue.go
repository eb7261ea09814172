package bench

// maxWaitSeconds is the maximum wait for a slot. A request that would wait longer is refused.
const maxWaitSeconds = 1.0

// slotQueue models the queue of one backend server: in order of arrival, each request gets the slot that becomes free
// first.
type slotQueue struct {
	// freeAt holds the time, in seconds, at which each slot becomes free.
	freeAt []float64
}

func newSlotQueue(slots int) *slotQueue {
	return &slotQueue{freeAt: make([]float64, slots)}
}

// serve returns the response time of a request in seconds, or false if the request is refused.
func (q *slotQueue) serve(arrival, runTime float64) (float64, bool) {
	earliest := 0
	for slot := range q.freeAt {
		if q.freeAt[slot] < q.freeAt[earliest] {
			earliest = slot
		}
	}
	start := max(arrival, q.freeAt[earliest])
	if start-arrival > maxWaitSeconds {
		return 0, false
	}
	q.freeAt[earliest] = start + runTime
	return start + runTime - arrival, true
}
