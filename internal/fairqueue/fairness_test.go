package fairqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model: one backend server with 3 slots, 20 subscribers that offer 60% of its capacity together, and a
// heavy one that offers 10 times the capacity.
const (
	modelSlots   = 3
	modelService = 20 * ms
	modelLight   = 20
	modelShare   = 0.6
	modelHeavy   = 10.0
	modelTime    = 1000 * time.Second
	heavyName    = "heavy"
	lightNames   = "abcdefghijklmnopqrst"
)

// discipline is the order in which the model serves waiting requests.
type discipline interface {
	Push(e *Entry[job], now, cost time.Duration) (*Entry[job], error)
	Pop(now time.Duration, expired func(*Entry[job])) (*Entry[job], bool)
	Done(e *Entry[job], took time.Duration)
	ReadyAt() (time.Duration, bool)
}

type job struct{ arrived, service time.Duration }

// fifo is the baseline: one bounded queue in order of arrival.
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

// arrivals is a Poisson process of one group of subscribers.
type arrivals struct {
	rate float64 // per second
	next time.Duration
	name func() string
}

type completion struct {
	at    time.Duration
	entry *Entry[job]
}

// modelResult is what the model measured.
type modelResult struct {
	p99       time.Duration
	lightUsed time.Duration
	heavyUsed time.Duration
}

// runModel serves the arrivals on modelSlots slots. Service times and arrivals do not depend on the
// discipline.
func runModel(queue discipline, heavy, fixed bool) modelResult {
	random := rand.New(rand.NewPCG(7, 7))
	service := func() time.Duration {
		if fixed {
			return modelService
		}
		return time.Duration(random.ExpFloat64() * float64(modelService))
	}
	capacity := modelSlots / modelService.Seconds()
	groups := []*arrivals{{rate: modelShare * capacity, name: func() string {
		i := random.IntN(modelLight)
		return lightNames[i : i+1]
	}}}
	if heavy {
		groups = append(groups, &arrivals{rate: modelHeavy * capacity, name: func() string { return heavyName }})
	}
	var result modelResult
	var latencies []time.Duration
	var running []completion
	for now := time.Duration(0); now < modelTime; {
		// The next event is an arrival or the first completion.
		group := slices.MinFunc(groups, func(a, b *arrivals) int { return int(a.next - b.next) })
		first := -1
		for i := range running {
			if first < 0 || running[i].at < running[first].at {
				first = i
			}
		}
		wake, waits := queue.ReadyAt()
		waits = waits && len(running) < modelSlots && wake > now
		if waits && wake <= group.next && (first < 0 || wake < running[first].at) {
			now = wake
		} else if first >= 0 && running[first].at <= group.next {
			done := running[first]
			running = append(running[:first], running[first+1:]...)
			now = done.at
			queue.Done(done.entry, done.entry.Value.service)
			if done.entry.Subscriber == heavyName {
				result.heavyUsed += done.entry.Value.service
			} else {
				result.lightUsed += done.entry.Value.service
				latencies = append(latencies, now-done.entry.Value.arrived)
			}
		} else {
			now = group.next
			group.next += time.Duration(random.ExpFloat64() / group.rate * float64(time.Second))
			_, _ = queue.Push(&Entry[job]{Subscriber: group.name(), Value: job{now, service()}}, now, modelService)
		}
		for len(running) < modelSlots {
			e, ok := queue.Pop(now, nil)
			if !ok {
				break
			}
			running = append(running, completion{now + e.Value.service, e})
		}
	}
	slices.Sort(latencies)
	result.p99 = latencies[len(latencies)*99/100]
	return result
}

// checkHeavySubscriber compares the model with and without the heavy subscriber against the targets.
func checkHeavySubscriber(t *testing.T, fixed bool) {
	limits := Limits{MaxWaitingPerSubscriber: 256, MaxWaiting: 4096, Slots: modelSlots, Allowance: 200 * ms, DebtSpacing: 0.4}
	without := runModel(New[job](limits), false, fixed)
	with := runModel(New[job](limits), true, fixed)
	baseline := runModel(&fifo{limit: limits.MaxWaiting}, true, fixed)
	ratio := with.p99.Seconds() / without.p99.Seconds()
	left := modelSlots*modelTime - with.lightUsed
	share := with.heavyUsed.Seconds() / left.Seconds()
	t.Logf("p99 of the others without %v, with %v (ratio %.3f), heavy gets %.4f of the rest; FIFO p99 %v (ratio %.0f)",
		without.p99, with.p99, ratio, share, baseline.p99, baseline.p99.Seconds()/without.p99.Seconds())
	if ratio > 1.2 {
		t.Errorf("ratio %.3f, limit 1.2", ratio)
	}
	if share < 0.95 {
		t.Errorf("heavy gets %.4f, limit 0.95", share)
	}
}

// TestHeavySubscriber guards against a flat-rate subscriber that starves the others: while it offers 10
// times the capacity, p99 of the others is at most 1.2 times their p99 without it, and it gets at least 95%
// of the capacity that the others leave.
func TestHeavySubscriber(t *testing.T) { checkHeavySubscriber(t, false) }

// TestHeavySubscriberFixedTimes is TestHeavySubscriber with constant service times.
func TestHeavySubscriberFixedTimes(t *testing.T) { checkHeavySubscriber(t, true) }
