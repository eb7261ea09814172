package bench

// refuseAfter is the longest wait for a slot, in seconds. A request that would wait longer is refused.
const refuseAfter = 1.0

// slotQueue models the queue of one backend server: requests wait for the first free slot in the order of arrival.
type slotQueue struct {
	// free holds the time at which each slot becomes free, in seconds.
	free []float64
}

func newSlotQueue(slots int) *slotQueue {
	return &slotQueue{free: make([]float64, slots)}
}

// serve returns the response time of a request, or false if it is refused.
func (q *slotQueue) serve(at, service float64) (float64, bool) {
	first := 0
	for slot := range q.free {
		if q.free[slot] < q.free[first] {
			first = slot
		}
	}
	start := max(at, q.free[first])
	if start-at > refuseAfter {
		return 0, false
	}
	q.free[first] = start + service
	return start + service - at, true
}
