// Package fairqueue is a bounded fair queue over subscribers by slot time. It is pure: it has no clock, lock
// or goroutine, and takes monotonic time as an argument.
//
// Each subscriber has a virtual time: the slot time that it was charged. The virtual time of the queue is
// the greatest one that a served subscriber had. Subscribers that are not ahead of it are in credit and are
// served in order of arrival, because that order keeps the longest waits short. The others are in debt and
// share what is left: the one with the least virtual time is next. A subscriber that returns after a pause
// is at most the allowance behind the queue, so that unused time is not saved up beyond that.
package fairqueue

import (
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
	// MaxWaitingPerSubscriber is the greatest number of waiting entries of one subscriber.
	MaxWaitingPerSubscriber int
	// MaxWaiting is the greatest number of waiting entries.
	MaxWaiting int
	// Slots is the number of entries that are in progress at a time. It serves the prediction of waits.
	Slots int
	// Allowance is the slot time that a subscriber which used less than its share may use ahead of the
	// others. Without it, two requests of a light subscriber in a row wait behind a heavy one.
	Allowance time.Duration
	// DebtSpacing is the least time from one start to that of an entry in debt, as a share of cost over slots. It
	// keeps the entries of a heavy subscriber from ending together: a light one that arrives just after such an
	// end would wait for a whole entry. 0 starts every entry as soon as a slot is free.
	DebtSpacing float64
}

// Queue is a fair queue of entries with a value of type T.
type Queue[T any] struct {
	limits Limits
	flows  map[string]*flow[T]
	heaps  [heapKinds]*flowHeap[T]
	// virtual is the virtual time of the queue.
	virtual    time.Duration
	arrivals   uint64
	created    uint64
	waiting    int
	inProgress int
	// lastStart is the time of the last start.
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

// Push adds e. cost is the slot time that one entry is expected to take. The entry that had to make room for
// it is returned, if any; it was not run.
func (q *Queue[T]) Push(e *Entry[T], now, cost time.Duration) (evicted *Entry[T], err error) {
	f := q.flows[e.Subscriber]
	if f != nil && f.waiting >= q.limits.MaxWaitingPerSubscriber {
		return nil, ErrSubscriberFull
	}
	if e.Deadline > 0 && now+q.predictFlow(f, cost) > e.Deadline {
		return nil, ErrDeadline
	}
	if q.waiting >= q.limits.MaxWaiting {
		evicted = q.makeRoom(f)
		if evicted == nil {
			return nil, ErrFull
		}
	}
	q.append(e, cost)
	return evicted, nil
}

// Pop returns the entry that is served next and charges its subscriber with the expected cost. Entries whose
// deadline has passed are removed and given to expired. It returns false while nothing waits, and before ReadyAt.
func (q *Queue[T]) Pop(now time.Duration, expired func(*Entry[T])) (*Entry[T], bool) {
	for q.waiting > 0 {
		f := q.next()
		e := f.head
		if now < q.readyAt(f) {
			return nil, false
		}
		q.unlink(e)
		if e.Deadline > 0 && now > e.Deadline {
			q.settle(f)
			expired(e)
			continue
		}
		q.start(e, f, now)
		return e, true
	}
	return nil, false
}

// ReadyAt returns the time from which on Pop serves an entry, or false if nothing waits.
func (q *Queue[T]) ReadyAt() (time.Duration, bool) {
	if q.waiting == 0 {
		return 0, false
	}
	return q.readyAt(q.next()), true
}

// readyAt is the time from which on the head of f may start.
func (q *Queue[T]) readyAt(f *flow[T]) time.Duration {
	if f.virtual <= q.virtual || q.inProgress == 0 {
		return 0
	}
	spacing := float64(f.head.cost) * q.limits.DebtSpacing / float64(max(q.limits.Slots, 1))
	return q.lastStart + time.Duration(spacing)
}

// Start charges e as if it had been pushed and popped at once. It may only be used while nothing waits.
func (q *Queue[T]) Start(e *Entry[T], now, cost time.Duration) {
	f := q.flowOf(e.Subscriber)
	e.cost = cost
	e.flow = f
	q.start(e, f, now)
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

// EstimateWait returns the expected wait of one more entry of the subscriber.
func (q *Queue[T]) EstimateWait(subscriber string, cost time.Duration) time.Duration {
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
	ahead := min(q.waiting, (own+1)*q.heaps[longest].Len())
	// The first slot becomes free after cost/slots on average.
	return cost * time.Duration(ahead+1) / time.Duration(slots)
}

// makeRoom removes the newest entry of the flow with the most waiting entries, unless f has as many.
func (q *Queue[T]) makeRoom(f *flow[T]) *Entry[T] {
	victim := q.heaps[longest].first()
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

// next returns the flow that is served next. Some entry must be waiting.
func (q *Queue[T]) next() *flow[T] {
	if f := q.heaps[inCredit].first(); f != nil {
		return f
	}
	return q.heaps[inDebt].first()
}

func (q *Queue[T]) start(e *Entry[T], f *flow[T], now time.Duration) {
	q.lastStart = now
	before := q.virtual
	q.virtual = max(q.virtual, f.virtual)
	f.virtual += e.cost
	f.inProgress++
	q.inProgress++
	q.settle(f)
	if q.virtual > before {
		q.creditAndDrop()
	}
}

// creditAndDrop moves the flows that the virtual time of the queue has reached: those in debt are in credit
// now, and those at rest that have no allowance to lose are forgotten.
func (q *Queue[T]) creditAndDrop() {
	for f := q.heaps[inDebt].first(); f != nil && f.virtual <= q.virtual; f = q.heaps[inDebt].first() {
		q.settle(f)
	}
	for f := q.heaps[resting].first(); f != nil && f.virtual <= q.floor(); f = q.heaps[resting].first() {
		q.heaps[resting].place(f, false)
		delete(q.flows, f.subscriber)
	}
}

// floor is the least virtual time of a flow that starts.
func (q *Queue[T]) floor() time.Duration { return q.virtual - q.limits.Allowance }

func (q *Queue[T]) unlink(e *Entry[T]) {
	e.flow.unlink(e)
	e.waiting = false
	q.waiting--
}

// flowOf returns the flow of a subscriber. A flow that had nothing to do is moved up to the floor.
func (q *Queue[T]) flowOf(subscriber string) *flow[T] {
	f := q.flows[subscriber]
	if f == nil {
		q.created++
		f = newFlow[T](subscriber, q.floor(), q.created)
		q.flows[subscriber] = f
	}
	if f.waiting == 0 {
		f.virtual = max(f.virtual, q.floor())
	}
	return f
}

// settle puts f into the heaps that fit its state.
func (q *Queue[T]) settle(f *flow[T]) {
	waits := f.waiting > 0
	credit := f.virtual <= q.virtual
	// A flow without entries has no arrival, so it leaves the heaps of waiting flows first.
	q.heaps[inCredit].place(f, waits && credit)
	q.heaps[inDebt].place(f, waits && !credit)
	q.heaps[longest].place(f, waits)
	q.heaps[resting].place(f, !waits && f.inProgress == 0)
}

// reset forgets all flows at the end of a busy period.
func (q *Queue[T]) reset() {
	clear(q.flows)
	for _, h := range q.heaps {
		clear(h.flows)
		h.flows = h.flows[:0]
	}
	q.virtual = 0
}
