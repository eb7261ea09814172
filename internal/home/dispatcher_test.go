package home

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestSlotsNeverExceeded guards against slots that are given away while the server still executes, also
// after cancellation, and against slots that are lost.
func TestSlotsNeverExceeded(t *testing.T) {
	onBench(t, fenced, standin.Options{ServiceTime: 10 * time.Millisecond, ExponentialServiceTime: true}, func(b *bench) {
		var wait sync.WaitGroup
		for i := range 200 {
			wait.Go(func() {
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				if i%3 == 0 {
					time.AfterFunc(time.Duration(i)*7*time.Millisecond, cancel)
				}
				b.do(ctx, b.request(nil))
			})
		}
		wait.Wait()
		got := b.server.Counters()
		if got.ExecutionsOverSlots != 0 || got.MaxInProgress != 2 || got.Executions < 133 || len(got.Refused) != 0 {
			b.Errorf("counters %+v", got)
		}
		time.Sleep(time.Second)
		if report := b.dispatcher.Report(); report.InProgress != 0 || report.Queued != 0 {
			b.Errorf("left over: %+v", report)
		}
	})
}

// TestLease guards against effects after the end of the home lease and against requests that are cut by it.
func TestLease(t *testing.T) {
	onBench(t, fenced, standin.Options{ServiceTime: 100 * time.Millisecond}, func(b *bench) {
		b.want("before", b.do(b.Context(), b.request(nil)), "200")
		b.setLease(150 * time.Millisecond)
		waiting := b.start(b.Context(), b.request(nil))
		time.Sleep(120 * time.Millisecond)
		b.setLease(HomeLease)
		time.Sleep(RenewInterval)
		b.want("after the renewal", <-waiting, "200")
		b.setLease(30 * time.Millisecond)
		ended := b.start(b.Context(), b.request(nil))
		b.want("lease ended while waiting", <-ended, "not-home not-run")
		b.want("after the end", b.do(b.Context(), b.request(nil)), "not-home not-run")
		time.Sleep(HomeLease)
		if got := b.server.ActiveGrants(); len(got) != 0 {
			b.Errorf("granted after the end: %v", got)
		}
		if got := b.server.Counters(); got.Executions != 2 {
			b.Errorf("counters %+v", got)
		}
	})
}

// TestLongRequests guards against services whose executions are longer than the home lease and never start.
func TestLongRequests(t *testing.T) {
	for _, config := range []Config{{Keyed: true, Fenced: true, Slots: 1}, {Slots: 1}} {
		config.MaxRequest = 3 * time.Second
		onBench(t, config, standin.Options{ServiceTime: 2 * time.Second}, func(b *bench) {
			for range 3 {
				b.want("long", b.do(b.Context(), b.request(nil)), "200")
			}
		})
	}
}

// TestQueueBounds guards against a queue without bound and against requests that wait although their
// deadline cannot be met.
func TestQueueBounds(t *testing.T) {
	config := Config{Slots: 1, QueuePerSubscriber: 3, QueueTotal: 5}
	onBench(t, config, standin.Options{ServiceTime: 100 * time.Millisecond}, func(b *bench) {
		b.want("first", b.do(b.Context(), b.request(nil)), "200")
		send := func(subscriber string, timeout time.Duration) <-chan string {
			return b.start(b.Context(), b.request(func(r *backend.Request) {
				r.Subscriber, r.Deadline = subscriber, time.Now().Add(timeout)
			}))
		}
		heavy := make([]<-chan string, 5)
		for i := range heavy {
			heavy[i] = send("heavy", 5*time.Second)
		}
		b.want("fifth of a subscriber", <-heavy[4], "queue-full not-run")
		b.want("deadline", <-send("other", 150*time.Millisecond), "deadline-cannot-be-met not-run")
		light := []<-chan string{send("a", 5*time.Second), send("b", 5*time.Second), send("c", 5*time.Second)}
		b.want("evicted", <-heavy[3], "queue-full not-run")
		for _, result := range append(light, heavy[:3]...) {
			b.want("served", <-result, "200")
		}
	})
}
