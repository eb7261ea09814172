package fairqueue

import "time"

// absent is the place of a flow in a heap that does not have it.
const absent = -1

// flow holds the waiting entries of one subscriber in order of arrival.
type flow[T any] struct {
	subscriber string
	// virtual is the slot time that the subscriber was charged.
	virtual    time.Duration
	head       *Entry[T]
	tail       *Entry[T]
	waiting    int
	inProgress int
	// readyAt, restingAt and longestAt are the places in the heaps.
	readyAt   int
	restingAt int
	longestAt int
	// inReady is true if the flow is, or was last, in the ready heap.
	inReady bool
	// order breaks ties between flows of the same length.
	order uint64
}

func (f *flow[T]) setPlace(at int) {
	if f.inReady {
		f.readyAt = at
		return
	}
	f.restingAt = at
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

// before orders flows by virtual time, then by the arrival of their first entry.
func (f *flow[T]) before(other *flow[T]) bool {
	if f.virtual != other.virtual {
		return f.virtual < other.virtual
	}
	if f.head == nil || other.head == nil {
		return f.head != nil
	}
	return f.head.arrival < other.head.arrival
}
