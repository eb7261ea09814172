package fairqueue

import "time"

// flow is the FIFO of one subscriber's waiting entries together with its accounting state.
type flow[T any] struct {
	subscriber string
	// virtualTime is the slot time charged to the subscriber.
	virtualTime time.Duration
	head        *Entry[T]
	tail        *Entry[T]
	waiting     int
	inProgress  int
	// heapIndex holds the position of the flow in each heap, or notInHeap.
	heapIndex [numHeaps]int
	// createdSeq is the creation order. It breaks ties between flows.
	createdSeq uint64
}

func newFlow[T any](subscriber string, virtualTime time.Duration, createdSeq uint64) *flow[T] {
	return &flow[T]{
		subscriber:  subscriber,
		virtualTime: virtualTime,
		createdSeq:  createdSeq,
		heapIndex:   [numHeaps]int{notInHeap, notInHeap, notInHeap, notInHeap},
	}
}

func (f *flow[T]) link(e *Entry[T]) {
	e.prev = f.tail
	e.next = nil
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	f.waiting++
}

func (f *flow[T]) unlink(e *Entry[T]) {
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev = nil
	e.next = nil
	f.waiting--
}
