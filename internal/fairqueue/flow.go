package fairqueue

import "time"

// flow holds the waiting entries of one subscriber in order of arrival.
type flow[T any] struct {
	subscriber string
	// virtual is the slot time that the subscriber was charged.
	virtual    time.Duration
	head       *Entry[T]
	tail       *Entry[T]
	waiting    int
	inProgress int
	// places are the places in the heaps.
	places [heapKinds]int
	// order breaks ties between flows.
	order uint64
}

func newFlow[T any](subscriber string, virtual time.Duration, order uint64) *flow[T] {
	return &flow[T]{
		subscriber: subscriber,
		virtual:    virtual,
		order:      order,
		places:     [heapKinds]int{absent, absent, absent, absent},
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
