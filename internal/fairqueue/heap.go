package fairqueue

// flowHeap is a container/heap of flows by virtual time. A flow is in at most one of the ready and the
// resting heap, and waiting entries tell which one.
type flowHeap[T any] []*flow[T]

// Len returns the number of flows.
func (h flowHeap[T]) Len() int { return len(h) }

// Less orders by virtual time.
func (h flowHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap exchanges two flows.
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setPlace(i)
	h[j].setPlace(j)
}

// Push appends a flow.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.inReady = f.waiting > 0
	f.setPlace(len(*h))
	*h = append(*h, f)
}

// Pop removes the last flow.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.setPlace(absent)
	return f
}

// lengthHeap is a container/heap of flows, the one with the most waiting entries first.
type lengthHeap[T any] []*flow[T]

// Len returns the number of flows.
func (h lengthHeap[T]) Len() int { return len(h) }

// Less orders by the number of waiting entries, then by the newest arrival.
func (h lengthHeap[T]) Less(i, j int) bool {
	if h[i].waiting != h[j].waiting {
		return h[i].waiting > h[j].waiting
	}
	return h[i].order < h[j].order
}

// Swap exchanges two flows.
func (h lengthHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].longestAt = i
	h[j].longestAt = j
}

// Push appends a flow.
func (h *lengthHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.longestAt = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow.
func (h *lengthHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.longestAt = absent
	return f
}
