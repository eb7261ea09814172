package fairqueue

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func init() {
	// The verdict must be the same every time.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestQueueProperties guards against entries that are lost, served twice or out of order, against queues
// without bound and against slots that stay free while entries wait.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxWaitingPerSubscriber: 4, MaxWaiting: 9, Slots: 2}
		limits.Allowance = time.Duration(rapid.SampledFrom([]int{0, 30}).Draw(t, "allowance")) * ms
		q := New[int](limits)
		var waiting, running []*Entry[int]
		next, now := 0, time.Duration(0)
		drop := func(list []*Entry[int], e *Entry[int]) []*Entry[int] {
			for i := range list {
				if list[i] == e {
					return append(list[:i:i], list[i+1:]...)
				}
			}
			t.Fatalf("entry %d is not in the list", e.Value)
			return nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				e := &Entry[int]{Subscriber: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "subscriber"), Value: next}
				if rapid.Bool().Draw(t, "deadline") {
					e.Deadline = now + time.Duration(rapid.IntRange(0, 100).Draw(t, "in"))*ms
				}
				victim, err := q.Push(e, now, 10*ms)
				if victim != nil {
					waiting = drop(waiting, victim)
				}
				if err == nil {
					waiting = append(waiting, e)
				} else if len(waiting) < limits.MaxWaiting && count(waiting, e.Subscriber) < limits.MaxWaitingPerSubscriber && e.Deadline == 0 {
					t.Fatalf("refused without reason: %v", err)
				}
			},
			"pop": func(t *rapid.T) {
				e, ok := q.Pop(now, func(e *Entry[int]) {
					if now <= e.Deadline {
						t.Fatalf("entry %d expired before its deadline", e.Value)
					}
					waiting = drop(waiting, e)
				})
				if !ok {
					if len(waiting) != 0 {
						t.Fatalf("%d entries wait and none was served", len(waiting))
					}
					return
				}
				for _, other := range waiting {
					if other.Subscriber == e.Subscriber && other.Value < e.Value {
						t.Fatalf("%d was served before %d", e.Value, other.Value)
					}
				}
				waiting = drop(waiting, e)
				running = append(running, e)
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				e := rapid.SampledFrom(running).Draw(t, "entry")
				running = drop(running, e)
				q.Done(e, time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*ms)
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("nothing waits")
				}
				e := rapid.SampledFrom(waiting).Draw(t, "entry")
				waiting = drop(waiting, e)
				if !q.Remove(e) || q.Remove(e) {
					t.Fatal("an entry is not removed once")
				}
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 50).Draw(t, "time")) * ms },
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.InProgress() != len(running) || q.Len() > limits.MaxWaiting {
					t.Fatalf("%d waiting, %d running, want %d, %d", q.Len(), q.InProgress(), len(waiting), len(running))
				}
				if len(waiting)+len(running) == 0 && len(q.flows) > 3 {
					t.Fatalf("%d flows are remembered", len(q.flows))
				}
			},
		})
	})
}

func count(entries []*Entry[int], subscriber string) int {
	n := 0
	for _, e := range entries {
		if e.Subscriber == subscriber {
			n++
		}
	}
	return n
}

// TestFairShares guards against a subscriber that gets more than one request and the allowance beyond an equal
// share of slot time while all have waiting entries.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.IntRange(1, 20), 2, 6).Draw(t, "costs")
		allowance := rapid.SampledFrom([]int{0, 0, 50}).Draw(t, "allowance")
		q := New[int](Limits{MaxWaitingPerSubscriber: 4, MaxWaiting: 100, Slots: 1, Allowance: time.Duration(allowance) * ms})
		push := func(i int) {
			if _, err := q.Push(&Entry[int]{Subscriber: fmt.Sprint(i), Value: i}, 0, time.Duration(costs[i])*ms); err != nil {
				t.Fatal(err)
			}
		}
		for i := range costs {
			push(i)
			push(i)
		}
		got := make([]int, len(costs))
		for range rapid.IntRange(1, 500).Draw(t, "requests") {
			e, _ := q.Pop(0, nil)
			got[e.Value] += costs[e.Value]
			push(e.Value)
			q.Done(e, time.Duration(costs[e.Value])*ms)
			for i := range got {
				for j := range got {
					if got[i]-got[j] > costs[i]+allowance {
						t.Fatalf("slot times %v with costs %v", got, costs)
					}
				}
			}
		}
	})
}

// TestIdleTimeIsNotAccumulated guards against a subscriber that pauses and then holds all slots.
func TestIdleTimeIsNotAccumulated(t *testing.T) {
	q := New[int](Limits{MaxWaitingPerSubscriber: 100, MaxWaiting: 1000, Slots: 1})
	push := func(subscriber string, n int) {
		for range n {
			_, _ = q.Push(&Entry[int]{Subscriber: subscriber}, 0, ms)
		}
	}
	serve := func(n int) map[string]int {
		served := make(map[string]int)
		for range n {
			e, _ := q.Pop(0, nil)
			q.Done(e, ms)
			served[e.Subscriber]++
		}
		return served
	}
	push("steady", 60)
	serve(50)
	push("returns", 10)
	if served := serve(10); served["returns"] != 5 {
		t.Errorf("served %v", served)
	}
}

func BenchmarkPushPopDone(b *testing.B) {
	for _, subscribers := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(subscribers), func(b *testing.B) {
			q := New[int](Limits{MaxWaitingPerSubscriber: 100, MaxWaiting: 10_000, Slots: 3})
			for i := range subscribers {
				_, _ = q.Push(&Entry[int]{Subscriber: fmt.Sprint(i)}, 0, ms)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e, _ := q.Pop(0, nil)
				q.Done(e, time.Duration(i*7919%int(ms)))
				_, _ = q.Push(e, 0, ms)
			}
		})
	}
}
