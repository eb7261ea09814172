package fairqueue

import "container/heap"

// heapKind identifies one of the heaps that index the flows.
type heapKind int

const (
	// creditHeap holds the flows with waiting entries that have used no more than their share, ordered by the
	// arrival of their first entry.
	creditHeap heapKind = iota
	// debtHeap holds the other flows with waiting entries, ordered by virtual time.
	debtHeap
	// lengthHeap holds the flows with waiting entries, the one with the most entries first.
	lengthHeap
	// idleHeap holds the flows without waiting or running entries, ordered by virtual time. A flow is deleted
	// once its virtual time is no higher than that of a new flow.
	idleHeap
	numHeaps
)

// notInHeap is the index of a flow in a heap that does not contain it.
const notInHeap = -1

// flowHeap implements heap.Interface for flows and maintains their heapIndex.
type flowHeap[T any] struct {
	kind  heapKind
	less  func(a, b *flow[T]) bool
	flows []*flow[T]
}

// newHeaps returns an empty heap of each kind.
func newHeaps[T any]() [numHeaps]*flowHeap[T] {
	byArrival := func(a, b *flow[T]) bool { return a.head.arrivalSeq < b.head.arrivalSeq }
	byVirtualTime := func(a, b *flow[T]) bool {
		if a.virtualTime != b.virtualTime {
			return a.virtualTime < b.virtualTime
		}
		return a.createdSeq < b.createdSeq
	}
	byLength := func(a, b *flow[T]) bool {
		if a.waiting != b.waiting {
			return a.waiting > b.waiting
		}
		return a.createdSeq < b.createdSeq
	}
	return [numHeaps]*flowHeap[T]{
		creditHeap: {kind: creditHeap, less: byArrival},
		debtHeap:   {kind: debtHeap, less: byVirtualTime},
		lengthHeap: {kind: lengthHeap, less: byLength},
		idleHeap:   {kind: idleHeap, less: byVirtualTime},
	}
}

// first returns the first flow, or nil.
func (h *flowHeap[T]) first() *flow[T] {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

// update restores the heap after a change of f: it adds, repositions or removes f so that f is in the heap
// exactly if member is true.
func (h *flowHeap[T]) update(f *flow[T], member bool) {
	index := f.heapIndex[h.kind]
	switch {
	case member && index == notInHeap:
		heap.Push(h, f)
	case member:
		heap.Fix(h, index)
	case index != notInHeap:
		heap.Remove(h, index)
	}
}

// Len implements heap.Interface.
func (h *flowHeap[T]) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap[T]) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }

// Swap implements heap.Interface.
func (h *flowHeap[T]) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex[h.kind] = i
	h.flows[j].heapIndex[h.kind] = j
}

// Push implements heap.Interface. Use update to add a flow.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex[h.kind] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface. Use update to remove a flow.
func (h *flowHeap[T]) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.heapIndex[h.kind] = notInHeap
	return f
}
