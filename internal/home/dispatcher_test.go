package home

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestSlotsNeverExceeded guards against slots that are reused while the server still executes a request, also after
// cancellation, and against slots that are never freed.
func TestSlotsNeverExceeded(t *testing.T) {
	withHarness(t, fencedConfig, standin.Options{RunTime: 10 * time.Millisecond, ExponentialRunTime: true}, func(h *harness) {
		var wait sync.WaitGroup
		for i := range 200 {
			wait.Go(func() {
				ctx, cancel := context.WithCancel(h.Context())
				defer cancel()
				if i%3 == 0 {
					time.AfterFunc(time.Duration(i)*7*time.Millisecond, cancel)
				}
				h.do(ctx, h.request(nil))
			})
		}
		wait.Wait()
		got := h.server.Counters()
		if got.ExecutionsOverSlots != 0 || got.MaxInProgress != 2 || got.Executions < 133 || len(got.Refused) != 0 {
			h.Errorf("counters %+v", got)
		}
		time.Sleep(time.Second)
		if report := h.dispatcher.Report(); report.InProgress != 0 || report.Queued != 0 {
			h.Errorf("requests remain: %+v", report)
		}
	})
}

// TestHomeLeaseExpiry guards against executions and grants after the end of the home lease, and against requests that
// are cut off by it.
func TestHomeLeaseExpiry(t *testing.T) {
	withHarness(t, fencedConfig, standin.Options{RunTime: 100 * time.Millisecond}, func(h *harness) {
		h.checkResult("before", h.do(h.Context(), h.request(nil)), "200")
		h.setLease(150 * time.Millisecond)
		waiting := h.startRequest(h.Context(), h.request(nil))
		time.Sleep(120 * time.Millisecond)
		h.setLease(HomeLease)
		time.Sleep(RenewInterval)
		h.checkResult("after the renewal", <-waiting, "200")
		h.setLease(30 * time.Millisecond)
		ended := h.startRequest(h.Context(), h.request(nil))
		h.checkResult("lease ended while waiting", <-ended, "not-home not-run")
		h.checkResult("after the end", h.do(h.Context(), h.request(nil)), "not-home not-run")
		time.Sleep(HomeLease)
		if got := h.server.ActiveGrants(); len(got) != 0 {
			h.Errorf("granted after the end: %v", got)
		}
		if got := h.server.Counters(); got.Executions != 2 {
			h.Errorf("counters %+v", got)
		}
	})
}

// TestLongRequests guards against requests that never start because their execution takes longer than the home lease.
func TestLongRequests(t *testing.T) {
	for _, config := range []Config{{Keyed: true, Fenced: true, Slots: 1}, {Slots: 1}} {
		config.MaxRunTime = 3 * time.Second
		withHarness(t, config, standin.Options{RunTime: 2 * time.Second}, func(h *harness) {
			for range 3 {
				h.checkResult("long", h.do(h.Context(), h.request(nil)), "200")
			}
		})
	}
}

// TestQueueBounds guards against an unbounded queue, and against requests that wait although their deadline cannot be
// met.
func TestQueueBounds(t *testing.T) {
	config := Config{Slots: 1, QueuePerSubscriber: 3, QueueTotal: 5}
	withHarness(t, config, standin.Options{RunTime: 100 * time.Millisecond}, func(h *harness) {
		h.checkResult("first", h.do(h.Context(), h.request(nil)), "200")
		send := func(subscriber string, timeout time.Duration) <-chan string {
			return h.startRequest(h.Context(), h.request(func(r *backend.Request) {
				r.Subscriber, r.Deadline = subscriber, time.Now().Add(timeout)
			}))
		}
		heavy := make([]<-chan string, 5)
		for i := range heavy {
			heavy[i] = send("heavy", 5*time.Second)
		}
		h.checkResult("over the limit of a subscriber", <-heavy[4], "queue-full not-run")
		h.checkResult("deadline", <-send("other", 150*time.Millisecond), "deadline-cannot-be-met not-run")
		light := []<-chan string{send("a", 5*time.Second), send("b", 5*time.Second), send("c", 5*time.Second)}
		h.checkResult("evicted", <-heavy[3], "queue-full not-run")
		for _, result := range append(light, heavy[:3]...) {
			h.checkResult("served", <-result, "200")
		}
	})
}
