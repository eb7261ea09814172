package fairqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the simulation: one backend server with 3 slots, 20 light subscribers that together offer 60%
// of its capacity, and a heavy subscriber that offers 10 times the capacity.
const (
	simSlots            = 3
	simServiceTime      = 20 * ms
	simLightSubscribers = 20
	simLightLoad        = 0.6
	simHeavyLoad        = 10.0
	simDuration         = 1000 * time.Second
	heavySubscriber     = "heavy"
	lightSubscribers    = "abcdefghijklmnopqrst"
)

// discipline is the queueing discipline under simulation.
type discipline interface {
	Push(e *Entry[job], now, cost time.Duration) (*Entry[job], error)
	Pop(now time.Duration, expired func(*Entry[job])) (*Entry[job], bool)
	Done(e *Entry[job], took time.Duration)
	ReadyAt() (time.Duration, bool)
}

type job struct{ arrived, serviceTime time.Duration }

// fifo is the baseline: a single bounded FIFO queue.
type fifo struct {
	entries []*Entry[job]
	limit   int
}

func (f *fifo) Push(e *Entry[job], _, _ time.Duration) (*Entry[job], error) {
	if len(f.entries) >= f.limit {
		return nil, ErrFull
	}
	f.entries = append(f.entries, e)
	return nil, nil
}

func (f *fifo) Pop(time.Duration, func(*Entry[job])) (*Entry[job], bool) {
	if len(f.entries) == 0 {
		return nil, false
	}
	e := f.entries[0]
	f.entries = f.entries[1:]
	return e, true
}

func (f *fifo) ReadyAt() (time.Duration, bool) { return 0, len(f.entries) > 0 }

func (f *fifo) Done(*Entry[job], time.Duration) {}

// arrivalProcess is the Poisson arrival process of one group of subscribers.
type arrivalProcess struct {
	rate float64 // per second
	next time.Duration
	name func() string
}

type completion struct {
	at    time.Duration
	entry *Entry[job]
}

type simResult struct {
	p99           time.Duration
	lightSlotTime time.Duration
	heavySlotTime time.Duration
}

// simulate runs the arrivals through the queue on simSlots slots. Arrivals and service times do not depend on
// the discipline.
func simulate(queue discipline, heavy, fixedServiceTime bool) simResult {
	random := rand.New(rand.NewPCG(7, 7))
	drawServiceTime := func() time.Duration {
		if fixedServiceTime {
			return simServiceTime
		}
		return time.Duration(random.ExpFloat64() * float64(simServiceTime))
	}
	capacity := simSlots / simServiceTime.Seconds()
	groups := []*arrivalProcess{{rate: simLightLoad * capacity, name: func() string {
		i := random.IntN(simLightSubscribers)
		return lightSubscribers[i : i+1]
	}}}
	if heavy {
		groups = append(groups, &arrivalProcess{rate: simHeavyLoad * capacity, name: func() string { return heavySubscriber }})
	}
	var result simResult
	var latencies []time.Duration
	var running []completion
	for now := time.Duration(0); now < simDuration; {
		// The next event is the first arrival, completion or spaced start.
		group := slices.MinFunc(groups, func(a, b *arrivalProcess) int { return int(a.next - b.next) })
		earliest := -1
		for i := range running {
			if earliest < 0 || running[i].at < running[earliest].at {
				earliest = i
			}
		}
		readyAt, queueReady := queue.ReadyAt()
		queueReady = queueReady && len(running) < simSlots && readyAt > now
		if queueReady && readyAt <= group.next && (earliest < 0 || readyAt < running[earliest].at) {
			now = readyAt
		} else if earliest >= 0 && running[earliest].at <= group.next {
			done := running[earliest]
			running = append(running[:earliest], running[earliest+1:]...)
			now = done.at
			queue.Done(done.entry, done.entry.Value.serviceTime)
			if done.entry.Subscriber == heavySubscriber {
				result.heavySlotTime += done.entry.Value.serviceTime
			} else {
				result.lightSlotTime += done.entry.Value.serviceTime
				latencies = append(latencies, now-done.entry.Value.arrived)
			}
		} else {
			now = group.next
			group.next += time.Duration(random.ExpFloat64() / group.rate * float64(time.Second))
			_, _ = queue.Push(&Entry[job]{Subscriber: group.name(), Value: job{now, drawServiceTime()}}, now, simServiceTime)
		}
		for len(running) < simSlots {
			e, ok := queue.Pop(now, nil)
			if !ok {
				break
			}
			running = append(running, completion{now + e.Value.serviceTime, e})
		}
	}
	slices.Sort(latencies)
	result.p99 = latencies[len(latencies)*99/100]
	return result
}

// checkHeavySubscriber simulates the queue with and without the heavy subscriber and checks the fairness
// targets.
func checkHeavySubscriber(t *testing.T, fixedServiceTime bool) {
	limits := Limits{MaxWaitingPerSubscriber: 256, MaxWaiting: 4096, Slots: simSlots, Allowance: 200 * ms, DebtSpacing: 0.4}
	withoutHeavy := simulate(New[job](limits), false, fixedServiceTime)
	withHeavy := simulate(New[job](limits), true, fixedServiceTime)
	baseline := simulate(&fifo{limit: limits.MaxWaiting}, true, fixedServiceTime)
	ratio := withHeavy.p99.Seconds() / withoutHeavy.p99.Seconds()
	unused := simSlots*simDuration - withHeavy.lightSlotTime
	share := withHeavy.heavySlotTime.Seconds() / unused.Seconds()
	t.Logf("light p99 %v without heavy, %v with it (ratio %.3f); heavy gets %.4f of the rest; FIFO p99 %v (ratio %.0f)",
		withoutHeavy.p99, withHeavy.p99, ratio, share, baseline.p99, baseline.p99.Seconds()/withoutHeavy.p99.Seconds())
	if ratio > 1.2 {
		t.Errorf("p99 ratio of light subscribers is %.3f, want at most 1.2", ratio)
	}
	if share < 0.95 {
		t.Errorf("heavy subscriber gets %.4f of the unused capacity, want at least 0.95", share)
	}
}

// TestHeavySubscriber checks that a subscriber that offers 10 times the capacity does not starve the
// others: their p99 is at most 1.2 times their p99 without it, and it gets at least 95% of the capacity that
// the others leave unused.
func TestHeavySubscriber(t *testing.T) { checkHeavySubscriber(t, false) }

// TestHeavySubscriberFixedTimes repeats TestHeavySubscriber with constant service times.
func TestHeavySubscriberFixedTimes(t *testing.T) { checkHeavySubscriber(t, true) }
