package fairqueue

import "time"

// Entry is one element of a queue. The caller sets the exported fields and owns the memory.
type Entry[T any] struct {
	Subscriber string
	// Deadline is the monotonic time after which the entry must not start. Zero means none.
	Deadline time.Duration
	Value    T

	flow    *flow[T]
	prev    *Entry[T]
	next    *Entry[T]
	cost    time.Duration
	arrival uint64
	waiting bool
}
