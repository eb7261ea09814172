package fairqueue

import "container/heap"

// heapKind names the heaps that a flow can be in.
type heapKind int

const (
	// inCredit orders the flows with waiting entries that used no more than their share, by arrival.
	inCredit heapKind = iota
	// inDebt orders the other flows with waiting entries by virtual time.
	inDebt
	// longest orders the flows with waiting entries by their number.
	longest
	// resting orders the flows without entries by virtual time. They are dropped once they have neither
	// credit nor debt left.
	resting
	heapKinds
)

// absent is the place of a flow in a heap that does not have it.
const absent = -1

// flowHeap is a container/heap of flows.
type flowHeap[T any] struct {
	kind   heapKind
	before func(a, b *flow[T]) bool
	flows  []*flow[T]
}

// newHeaps returns an empty heap of each kind.
func newHeaps[T any]() [heapKinds]*flowHeap[T] {
	byArrival := func(a, b *flow[T]) bool { return a.head.arrival < b.head.arrival }
	byVirtual := func(a, b *flow[T]) bool {
		if a.virtual != b.virtual {
			return a.virtual < b.virtual
		}
		return a.order < b.order
	}
	byLength := func(a, b *flow[T]) bool {
		if a.waiting != b.waiting {
			return a.waiting > b.waiting
		}
		return a.order < b.order
	}
	return [heapKinds]*flowHeap[T]{
		inCredit: {kind: inCredit, before: byArrival},
		inDebt:   {kind: inDebt, before: byVirtual},
		longest:  {kind: longest, before: byLength},
		resting:  {kind: resting, before: byVirtual},
	}
}

// first returns the first flow, or nil.
func (h *flowHeap[T]) first() *flow[T] {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

// place adds f, moves it to its new place or removes it.
func (h *flowHeap[T]) place(f *flow[T], wanted bool) {
	at := f.places[h.kind]
	switch {
	case wanted && at == absent:
		heap.Push(h, f)
	case wanted:
		heap.Fix(h, at)
	case at != absent:
		heap.Remove(h, at)
	}
}

// Len returns the number of flows.
func (h *flowHeap[T]) Len() int { return len(h.flows) }

// Less orders by the kind of the heap.
func (h *flowHeap[T]) Less(i, j int) bool { return h.before(h.flows[i], h.flows[j]) }

// Swap exchanges two flows.
func (h *flowHeap[T]) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].places[h.kind] = i
	h.flows[j].places[h.kind] = j
}

// Push appends a flow.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.places[h.kind] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop removes the last flow.
func (h *flowHeap[T]) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.places[h.kind] = absent
	return f
}
