// Package fairqueue implements a bounded queue that shares the slot time of a backend server fairly among
// subscribers. It is deterministic: it has no clock, locks or goroutines, and takes monotonic time as an
// argument. Callers synchronize access.
//
// Each subscriber has a virtual time, which is the slot time charged to it. The virtual time of the queue is
// the maximum virtual time of any subscriber at the moment it was served. Subscribers that are not ahead of
// the queue are in credit. They are served in order of arrival, because FIFO order minimizes the longest
// wait. Subscribers ahead of the queue are in debt and share the remaining capacity, lowest virtual time
// first. The virtual time of a subscriber that returns after an idle period is raised to at most Allowance
// behind that of the queue, so that it cannot accumulate more unused slot time than that.
package fairqueue

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by Push.
var (
	// ErrSubscriberFull is returned if the subscriber has Limits.MaxWaitingPerSubscriber waiting entries.
	ErrSubscriberFull = errors.New("too many requests of the subscriber are waiting; send fewer at a time")
	// ErrFull is returned if the queue is full and no other subscriber has enough waiting entries for one of
	// them to be evicted.
	ErrFull = errors.New("too many requests are waiting at the backend server; send it again later")
	// ErrDeadline is returned if the estimated wait ends after the deadline of the entry.
	ErrDeadline = errors.New("the request cannot start before its deadline; send it again with more time")
)

// Limits configures the capacity and the fairness of a queue.
type Limits struct {
	// MaxWaitingPerSubscriber is the maximum number of waiting entries of one subscriber.
	MaxWaitingPerSubscriber int
	// MaxWaiting is the maximum number of waiting entries.
	MaxWaiting int
	// Slots is the number of entries that are executed concurrently. It is used to estimate waits and to
	// space the starts of entries in debt; the caller enforces it.
	Slots int
	// Allowance is the slot time that a subscriber below its share may use ahead of the others. Without it,
	// the second of two consecutive requests of a light subscriber waits behind those of a heavy one.
	Allowance time.Duration
	// DebtSpacing is the minimum interval between the previous start and the start of an entry in debt, as a
	// fraction of its cost divided by Slots. It staggers the entries of a heavy subscriber. Otherwise they
	// would start and complete together, and a light request that arrives just after a start would wait for a
	// whole execution. 0 starts every entry as soon as a slot is free.
	DebtSpacing float64
}

// Queue is a fair queue of entries with a value of type T.
type Queue[T any] struct {
	limits Limits
	flows  map[string]*flow[T]
	heaps  [numHeaps]*flowHeap[T]
	// virtualTime is the virtual time of the queue.
	virtualTime time.Duration
	arrivalSeq  uint64
	flowSeq     uint64
	waiting     int
	inProgress  int
	// lastStart is when an entry was last started.
	lastStart time.Duration
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	return &Queue[T]{limits: limits, flows: make(map[string]*flow[T]), heaps: newHeaps[T]()}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.waiting }

// InProgress returns the number of entries between Pop and Done.
func (q *Queue[T]) InProgress() int { return q.inProgress }

// Push enqueues e. cost is the expected slot time of one entry. If the queue was full, Push returns the
// waiting entry that was evicted in favour of e; it has not been started.
func (q *Queue[T]) Push(e *Entry[T], now, cost time.Duration) (evicted *Entry[T], err error) {
	f := q.flows[e.Subscriber]
	if f != nil && f.waiting >= q.limits.MaxWaitingPerSubscriber {
		return nil, ErrSubscriberFull
	}
	if e.Deadline > 0 && now+q.estimateWait(f, cost) > e.Deadline {
		return nil, ErrDeadline
	}
	if q.waiting >= q.limits.MaxWaiting {
		evicted = q.evict(f)
		if evicted == nil {
			return nil, ErrFull
		}
	}
	q.enqueue(e, cost)
	return evicted, nil
}

// Pop removes the next entry to serve and charges its expected cost to the subscriber. Entries whose deadline
// has passed are removed and passed to expired. Pop returns false if no entry is waiting, and before ReadyAt.
func (q *Queue[T]) Pop(now time.Duration, expired func(*Entry[T])) (*Entry[T], bool) {
	for q.waiting > 0 {
		f := q.nextFlow()
		e := f.head
		if now < q.readyAt(f) {
			return nil, false
		}
		q.unlink(e)
		if e.Deadline > 0 && now > e.Deadline {
			q.updateHeaps(f)
			expired(e)
			continue
		}
		q.startEntry(e, f, now)
		return e, true
	}
	return nil, false
}

// ReadyAt returns the earliest time at which Pop returns an entry, or false if no entry is waiting.
func (q *Queue[T]) ReadyAt() (time.Duration, bool) {
	if q.waiting == 0 {
		return 0, false
	}
	return q.readyAt(q.nextFlow()), true
}

// readyAt returns the earliest time at which the first entry of f may start.
func (q *Queue[T]) readyAt(f *flow[T]) time.Duration {
	if f.virtualTime <= q.virtualTime || q.inProgress == 0 {
		return 0
	}
	spacing := float64(f.head.cost) * q.limits.DebtSpacing / float64(max(q.limits.Slots, 1))
	return q.lastStart + time.Duration(spacing)
}

// Start charges e as if it were pushed and popped immediately. It must only be called while no entry is
// waiting.
func (q *Queue[T]) Start(e *Entry[T], now, cost time.Duration) {
	f := q.flowFor(e.Subscriber)
	e.cost = cost
	e.flow = f
	q.startEntry(e, f, now)
}

// Done completes an entry from Pop or Start and replaces the expected cost charged for it by the slot time
// that it took.
func (q *Queue[T]) Done(e *Entry[T], took time.Duration) {
	f := e.flow
	f.virtualTime += took - e.cost
	f.inProgress--
	q.inProgress--
	q.updateHeaps(f)
	if q.waiting == 0 && q.inProgress == 0 {
		q.reset()
	}
}

// Remove removes e from the queue. It returns false if e is not waiting.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.flow == nil || !e.waiting {
		return false
	}
	f := e.flow
	q.unlink(e)
	q.updateHeaps(f)
	return true
}

// EstimateWait estimates how long a new entry of the subscriber would wait.
func (q *Queue[T]) EstimateWait(subscriber string, cost time.Duration) time.Duration {
	return q.estimateWait(q.flows[subscriber], cost)
}

// estimateWait estimates the wait of a new entry of f in constant time. Each waiting flow is served at most
// n+1 times before an entry that has n entries of its own flow ahead of it, and the total is bounded by the
// number of waiting entries.
func (q *Queue[T]) estimateWait(f *flow[T], cost time.Duration) time.Duration {
	slots := max(q.limits.Slots, 1)
	if q.waiting == 0 && q.inProgress < slots {
		return 0
	}
	ownWaiting := 0
	if f != nil {
		ownWaiting = f.waiting
	}
	ahead := min(q.waiting, (ownWaiting+1)*q.heaps[lengthHeap].Len())
	// The first slot becomes free after cost/slots on average.
	return cost * time.Duration(ahead+1) / time.Duration(slots)
}

// evict removes and returns the newest entry of the flow with the most waiting entries. It returns nil if f
// would have at least as many entries as that flow after enqueuing one more.
func (q *Queue[T]) evict(f *flow[T]) *Entry[T] {
	victim := q.heaps[lengthHeap].first()
	if victim == nil {
		return nil
	}
	if f != nil && f.waiting+1 >= victim.waiting {
		return nil
	}
	if f == nil && victim.waiting <= 1 {
		return nil
	}
	e := victim.tail
	q.unlink(e)
	q.updateHeaps(victim)
	return e
}

func (q *Queue[T]) enqueue(e *Entry[T], cost time.Duration) {
	f := q.flowFor(e.Subscriber)
	q.arrivalSeq++
	e.flow = f
	e.cost = cost
	e.arrivalSeq = q.arrivalSeq
	e.waiting = true
	f.link(e)
	q.waiting++
	q.updateHeaps(f)
}

// nextFlow returns the flow to serve next. At least one entry must be waiting.
func (q *Queue[T]) nextFlow() *flow[T] {
	if f := q.heaps[creditHeap].first(); f != nil {
		return f
	}
	return q.heaps[debtHeap].first()
}

func (q *Queue[T]) startEntry(e *Entry[T], f *flow[T], now time.Duration) {
	q.lastStart = now
	before := q.virtualTime
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime += e.cost
	f.inProgress++
	q.inProgress++
	q.updateHeaps(f)
	if q.virtualTime > before {
		q.advanceFlows()
	}
}

// advanceFlows updates the flows after the virtual time of the queue has advanced: it moves flows that are no
// longer in debt to the credit heap and deletes idle flows whose virtual time is no higher than that of a new
// flow.
func (q *Queue[T]) advanceFlows() {
	for f := q.heaps[debtHeap].first(); f != nil && f.virtualTime <= q.virtualTime; f = q.heaps[debtHeap].first() {
		q.updateHeaps(f)
	}
	for f := q.heaps[idleHeap].first(); f != nil && f.virtualTime <= q.minVirtualTime(); f = q.heaps[idleHeap].first() {
		q.heaps[idleHeap].update(f, false)
		delete(q.flows, f.subscriber)
	}
}

// minVirtualTime is the lowest virtual time with which a flow may become active.
func (q *Queue[T]) minVirtualTime() time.Duration { return q.virtualTime - q.limits.Allowance }

func (q *Queue[T]) unlink(e *Entry[T]) {
	e.flow.unlink(e)
	e.waiting = false
	q.waiting--
}

// flowFor returns the flow of a subscriber, creating it if necessary. The virtual time of a flow without
// waiting entries is raised to minVirtualTime.
func (q *Queue[T]) flowFor(subscriber string) *flow[T] {
	f := q.flows[subscriber]
	if f == nil {
		q.flowSeq++
		f = newFlow[T](subscriber, q.minVirtualTime(), q.flowSeq)
		q.flows[subscriber] = f
	}
	if f.waiting == 0 {
		f.virtualTime = max(f.virtualTime, q.minVirtualTime())
	}
	return f
}

// updateHeaps adds f to the heaps that match its state and removes it from the others.
func (q *Queue[T]) updateHeaps(f *flow[T]) {
	hasWaiting := f.waiting > 0
	inCredit := f.virtualTime <= q.virtualTime
	// The comparison by arrival reads the first entry, so a flow without entries must leave the heaps of
	// waiting flows first.
	q.heaps[creditHeap].update(f, hasWaiting && inCredit)
	q.heaps[debtHeap].update(f, hasWaiting && !inCredit)
	q.heaps[lengthHeap].update(f, hasWaiting)
	q.heaps[idleHeap].update(f, !hasWaiting && f.inProgress == 0)
}

// reset deletes all flows at the end of a busy period.
func (q *Queue[T]) reset() {
	clear(q.flows)
	for _, h := range q.heaps {
		clear(h.flows)
		h.flows = h.flows[:0]
	}
	q.virtualTime = 0
}
