// Package fairqueue is a bounded fair queue over subscribers by slot time. It is pure: it has no clock, lock
// or goroutine, and takes monotonic time as an argument.
//
// Each subscriber has a virtual time: the slot time that it was charged. The subscriber with the least
// virtual time among those that wait is served next. A subscriber that returns after a pause starts at the
// virtual time of the queue, so that unused time is not saved up.
package fairqueue

import (
	"container/heap"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinels of Push.
var (
	// ErrSubscriberFull is returned if the subscriber has too many waiting entries.
	ErrSubscriberFull = errors.New("too many requests of the subscriber are waiting; send fewer at a time")
	// ErrFull is returned if the queue is full and the subscriber has the most waiting entries.
	ErrFull = errors.New("too many requests are waiting at the backend server; send it again later")
	// ErrDeadline is returned if the predicted wait ends after the deadline.
	ErrDeadline = errors.New("the request cannot start before its deadline; send it again with more time")
)

// Limits bound a queue.
type Limits struct {
	// PerSubscriber is the greatest number of waiting entries of one subscriber.
	PerSubscriber int
	// Total is the greatest number of waiting entries.
	Total int
	// Slots is the number of entries that are in progress at a time. It serves the prediction of waits.
	Slots int
}

// Queue is a fair queue of entries with a value of type T.
type Queue[T any] struct {
	limits Limits
	flows  map[string]*flow[T]
	// ready orders the flows with waiting entries by virtual time.
	ready flowHeap[T]
	// longest orders the same flows by their number of waiting entries.
	longest lengthHeap[T]
	// resting orders the flows without waiting entries by virtual time. They are dropped once the virtual
	// time of the queue has passed theirs.
	resting flowHeap[T]
	// virtual is the virtual time of the flow that was served last.
	virtual    time.Duration
	arrivals   uint64
	created    uint64
	waiting    int
	inProgress int
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	return &Queue[T]{limits: limits, flows: make(map[string]*flow[T])}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.waiting }

// InProgress returns the number of entries between Pop and Done.
func (q *Queue[T]) InProgress() int { return q.inProgress }

// Push adds e. cost is the slot time that one entry is expected to take. The entry that had to make room for
// it is returned, if any; it was not run.
func (q *Queue[T]) Push(e *Entry[T], now, cost time.Duration) (evicted *Entry[T], err error) {
	f := q.flows[e.Subscriber]
	if f != nil && f.waiting >= q.limits.PerSubscriber {
		return nil, ErrSubscriberFull
	}
	if e.Deadline > 0 && now+q.predictFlow(f, cost) > e.Deadline {
		return nil, ErrDeadline
	}
	if q.waiting >= q.limits.Total {
		evicted = q.makeRoom(f)
		if evicted == nil {
			return nil, ErrFull
		}
	}
	q.append(e, cost)
	return evicted, nil
}

// Pop returns the entry that is served next and charges its subscriber with the expected cost. Entries whose
// deadline has passed are removed and given to expired.
func (q *Queue[T]) Pop(now time.Duration, expired func(*Entry[T])) (*Entry[T], bool) {
	for len(q.ready) > 0 {
		f := q.ready[0]
		e := f.head
		q.unlink(e)
		if e.Deadline > 0 && now > e.Deadline {
			q.settle(f)
			expired(e)
			continue
		}
		q.start(e, f)
		return e, true
	}
	return nil, false
}

// Start charges e as if it had been pushed and popped at once. It may only be used while nothing waits.
func (q *Queue[T]) Start(e *Entry[T], cost time.Duration) {
	f := q.flowOf(e.Subscriber)
	e.cost = cost
	e.flow = f
	q.start(e, f)
}

// Done ends an entry that Pop or Start returned, and charges the slot time that it took.
func (q *Queue[T]) Done(e *Entry[T], took time.Duration) {
	f := e.flow
	f.virtual += took - e.cost
	f.inProgress--
	q.inProgress--
	q.settle(f)
	if q.waiting == 0 && q.inProgress == 0 {
		q.reset()
	}
}

// Remove takes e out of the queue. It returns false if e is not waiting.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.flow == nil || !e.waiting {
		return false
	}
	f := e.flow
	q.unlink(e)
	q.settle(f)
	return true
}

// Predict returns the expected wait of one more entry of the subscriber.
func (q *Queue[T]) Predict(subscriber string, cost time.Duration) time.Duration {
	return q.predictFlow(q.flows[subscriber], cost)
}

// predictFlow estimates in constant time: before an entry with n entries of its flow ahead, each waiting flow
// is served at most n+1 times, and never more than everything that waits.
func (q *Queue[T]) predictFlow(f *flow[T], cost time.Duration) time.Duration {
	slots := max(q.limits.Slots, 1)
	if q.waiting == 0 && q.inProgress < slots {
		return 0
	}
	own := 0
	if f != nil {
		own = f.waiting
	}
	ahead := min(q.waiting, (own+1)*len(q.ready))
	// The first slot becomes free after cost/slots on average.
	return cost * time.Duration(ahead+1) / time.Duration(slots)
}

// makeRoom removes the newest entry of the flow with the most waiting entries, unless f has as many.
func (q *Queue[T]) makeRoom(f *flow[T]) *Entry[T] {
	if len(q.longest) == 0 {
		return nil
	}
	victim := q.longest[0]
	if f != nil && f.waiting+1 >= victim.waiting {
		return nil
	}
	if f == nil && victim.waiting <= 1 {
		return nil
	}
	e := victim.tail
	q.unlink(e)
	q.settle(victim)
	return e
}

func (q *Queue[T]) append(e *Entry[T], cost time.Duration) {
	f := q.flowOf(e.Subscriber)
	q.arrivals++
	e.flow = f
	e.cost = cost
	e.arrival = q.arrivals
	e.waiting = true
	f.link(e)
	q.waiting++
	q.settle(f)
}

func (q *Queue[T]) start(e *Entry[T], f *flow[T]) {
	q.virtual = max(q.virtual, f.virtual)
	f.virtual += e.cost
	f.inProgress++
	q.inProgress++
	q.settle(f)
	q.dropRested()
}

func (q *Queue[T]) unlink(e *Entry[T]) {
	e.flow.unlink(e)
	e.waiting = false
	q.waiting--
}

// flowOf returns the flow of a subscriber. A flow that had nothing to do is moved up to the virtual time.
func (q *Queue[T]) flowOf(subscriber string) *flow[T] {
	f := q.flows[subscriber]
	if f == nil {
		q.created++
		f = &flow[T]{
			subscriber: subscriber, order: q.created,
			readyAt: absent, longestAt: absent, restingAt: absent,
		}
		q.flows[subscriber] = f
	}
	if f.waiting == 0 {
		f.virtual = max(f.virtual, q.virtual)
	}
	return f
}

// settle puts f into the heaps that fit its state.
func (q *Queue[T]) settle(f *flow[T]) {
	ready := f.waiting > 0
	resting := !ready && f.inProgress == 0
	if !resting {
		place(&q.resting, f, f.restingAt, false)
	}
	place(&q.ready, f, f.readyAt, ready)
	place(&q.longest, f, f.longestAt, ready)
	if resting {
		place(&q.resting, f, f.restingAt, true)
	}
}

// place adds f to h, moves it within h or removes it from h. at is the place of f in h.
func place[T any](h heap.Interface, f *flow[T], at int, wanted bool) {
	switch {
	case wanted && at == absent:
		heap.Push(h, f)
	case wanted:
		heap.Fix(h, at)
	case at != absent:
		heap.Remove(h, at)
	}
}

// dropRested forgets flows that have no advantage or debt left.
func (q *Queue[T]) dropRested() {
	for len(q.resting) > 0 && q.resting[0].virtual <= q.virtual {
		f := heap.Pop(&q.resting).(*flow[T])
		delete(q.flows, f.subscriber)
	}
}

// reset forgets all flows at the end of a busy period.
func (q *Queue[T]) reset() {
	clear(q.flows)
	q.ready = q.ready[:0]
	q.longest = q.longest[:0]
	q.resting = q.resting[:0]
	q.virtual = 0
}
