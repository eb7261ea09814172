package fairqueue

import "time"

// Entry is one element of a queue. The caller allocates it and sets the exported fields.
type Entry[T any] struct {
	Subscriber string
	// Deadline is the monotonic time after which the entry must not start. Zero means no deadline.
	Deadline time.Duration
	Value    T

	flow       *flow[T]
	prev       *Entry[T]
	next       *Entry[T]
	cost       time.Duration
	arrivalSeq uint64
	waiting    bool
}
