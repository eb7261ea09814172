package home

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// testPartitions is 1, so that every key without an override is in partition 0.
const testPartitions = 1

// bench is a dispatcher with its stand-in backend server on fake time.
type bench struct {
	*testing.T
	server     *standin.Server
	dispatcher *Dispatcher

	mu sync.Mutex // mu protects the fields below
	// leaseEnd is the end of the home lease. While it is zero, heartbeats renew the lease.
	leaseEnd time.Time
	lastID   uint16
}

// onBench runs a test on fake time. Keyed services own their partition from the start.
func onBench(t *testing.T, config Config, options standin.Options, test func(*bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{T: t}
		options.Name, options.Fenced, options.Slots = "a", config.Fenced, config.Slots
		config.Partitions = testPartitions
		config.Lease = func() time.Time {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.leaseEnd.IsZero() {
				return time.Now().Add(HomeLease)
			}
			return b.leaseEnd
		}
		b.server = standin.New(options)
		b.dispatcher = Open(config, b.server.Client())
		b.own(1, false)
		test(b)
		b.dispatcher.Close()
		b.server.Close()
		time.Sleep(2 * time.Minute) // lets net/http notice the closed connections before the bubble ends
	})
}

func (b *bench) own(seq uint64, releasing bool) {
	b.dispatcher.Apply(Assignment{Owned: []Owned{{Token: fence.Token{Generation: 1, Seq: seq}, Releasing: releasing}}})
}

func (b *bench) setLease(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaseEnd = time.Now().Add(d)
}

// request returns a request that must run once, unless change says otherwise.
func (b *bench) request(change func(*backend.Request)) *backend.Request {
	b.mu.Lock()
	b.lastID++
	id := b.lastID
	b.mu.Unlock()
	req := &backend.Request{
		ID: backend.RequestID{byte(id >> 8), byte(id)}, Subscriber: "s", Method: "POST", Path: "/x", Key: "k",
		Deadline: time.Now().Add(5 * time.Second), Header: http.Header{},
	}
	if change != nil {
		change(req)
	}
	if req.Identity != "" {
		req.Header.Set("Idempotency-Key", req.Identity)
	}
	return req
}

func identity(text string) func(*backend.Request) {
	return func(req *backend.Request) { req.Identity = text }
}

// do runs a request to the end of its answer and describes how it ended.
func (b *bench) do(ctx context.Context, req *backend.Request) string {
	response, err := b.dispatcher.Do(ctx, req)
	if err != nil {
		return describe(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(response.Status)
}

func describe(err error) string {
	var problem *outcome.Problem
	if !errors.As(err, &problem) {
		return err.Error()
	}
	return string(problem.Kind) + " " + problem.Outcome.String()
}

// start runs a request in the background.
func (b *bench) start(ctx context.Context, req *backend.Request) <-chan string {
	result := make(chan string, 1)
	go func() { result <- b.do(ctx, req) }()
	synctest.Wait()
	return result
}

func (b *bench) want(what, got, want string) {
	b.Helper()
	if got != want {
		b.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func (b *bench) wantRuns(req *backend.Request, want int) {
	b.Helper()
	if got := b.server.Runs(req.ID.String()); got != want {
		b.Errorf("request %s was executed %d times, want %d", req.ID, got, want)
	}
}

var (
	fenced  = Config{Keyed: true, Fenced: true, Slots: 2}
	unkeyed = Config{Slots: 2}
)

// TestSlotsNeverExceeded guards against slots that are given away while the server still executes, also
// after cancellation, and against slots that are lost.
func TestSlotsNeverExceeded(t *testing.T) {
	onBench(t, fenced, standin.Options{ServiceTime: 10 * time.Millisecond, Exponential: true}, func(b *bench) {
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
		if got.OverSlots != 0 || got.MaxInProgress != 2 || got.Executions < 133 || len(got.Refused) != 0 {
			b.Errorf("counters %+v", got)
		}
		time.Sleep(time.Second)
		if report := b.dispatcher.Report(); report.InProgress != 0 || report.Queued != 0 {
			b.Errorf("left over: %+v", report)
		}
	})
}

// TestIdentities guards against a second run for a retry of the caller.
func TestIdentities(t *testing.T) {
	onBench(t, unkeyed, standin.Options{ServiceTime: 100 * time.Millisecond}, func(b *bench) {
		first := b.start(b.Context(), b.request(identity("one")))
		b.want("while running", b.do(b.Context(), b.request(identity("one"))), "repeated-request ran")
		b.want("first", <-first, "200")
		b.want("afterwards", b.do(b.Context(), b.request(identity("one"))), "repeated-request ran")
		b.want("idempotent", b.do(b.Context(), b.request(func(r *backend.Request) {
			r.Idempotent, r.Identity = true, "one"
		})), "200")
		b.want("other subscriber", b.do(b.Context(), b.request(func(r *backend.Request) {
			r.Subscriber, r.Identity = "t", "one"
		})), "200")

		b.server.Set(func(s *standin.Switches) { s.Shed = true })
		b.want("shed", b.do(b.Context(), b.request(identity("two"))), "backend-shed-load not-run")
		b.server.Set(func(s *standin.Switches) { s.Shed = false })
		b.want("after shed", b.do(b.Context(), b.request(identity("two"))), "200")

		b.server.Set(func(s *standin.Switches) { s.Fault = standin.FaultCloseAfter })
		b.want("lost", b.do(b.Context(), b.request(identity("three"))), "connection-lost unknown")
		b.server.Set(func(s *standin.Switches) { s.Fault = standin.FaultNone })
		b.want("after lost", b.do(b.Context(), b.request(identity("three"))), "repeated-request unknown")

		for subscriber, want := range map[string]int{"one": 2, "two": 1, "three": 1} {
			if got := b.server.IdentityRuns("s", subscriber); got != want {
				b.Errorf("identity %s ran %d times, want %d", subscriber, got, want)
			}
		}
	})
}

func uuidV7(at time.Time) string {
	millis := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", millis>>16, millis&0xffff)
}

// TestIdentityAfterLossOfRecord guards against a retry that runs again because the record was lost, was
// bounded or is older than its window.
func TestIdentityAfterLossOfRecord(t *testing.T) {
	config := unkeyed
	config.Identities = 2
	onBench(t, config, standin.Options{}, func(b *bench) {
		started := time.Now()
		at := func(d time.Duration) string {
			time.Sleep(time.Until(started.Add(d))) // an identity is not used before it is made
			return b.do(b.Context(), b.request(identity(uuidV7(started.Add(d)))))
		}
		b.want("before the record", at(-time.Minute), "request-identity-too-old unknown")
		b.want("within the skew", at(50*time.Millisecond), "request-identity-too-old unknown")
		b.want("after the begin", at(100*time.Millisecond), "200")
		b.want("no uuid", b.do(b.Context(), b.request(identity("x"))), "200")
		time.Sleep(time.Second)
		b.want("third of two", at(900*time.Millisecond), "200")
		b.want("evicted", at(100*time.Millisecond), "request-identity-too-old unknown")
		b.want("fourth of two", at(901*time.Millisecond), "200")
		time.Sleep(IdentityWindow)
		b.want("after the window", at(900*time.Millisecond), "request-identity-too-old unknown")
		b.want("fresh", at(time.Since(started)), "200")
	})
}

// TestMove guards against a release while requests execute, and against dispatch during or after a release.
func TestMove(t *testing.T) {
	for _, config := range []Config{fenced, {Keyed: true, Slots: 2}} {
		onBench(t, config, standin.Options{ServiceTime: 300 * time.Millisecond}, func(b *bench) {
			running := b.start(b.Context(), b.request(nil))
			b.own(1, true)
			waiting := b.start(b.Context(), b.request(nil))
			time.Sleep(250 * time.Millisecond)
			if got := b.dispatcher.Report().Released; len(got) != 0 {
				b.Errorf("released while a request executes: %v", got)
			}
			b.want("running", <-running, "200")
			time.Sleep(250 * time.Millisecond)
			report := b.dispatcher.Report()
			if len(report.Released) != 1 || report.Released[0].Token.Seq != 1 || len(b.server.Granted()) != 0 {
				b.Errorf("report %+v, granted %v", report, b.server.Granted())
			}
			b.dispatcher.Apply(Assignment{})
			b.want("waiting", <-waiting, "not-home not-run")
			b.want("afterwards", b.do(b.Context(), b.request(nil)), "not-home not-run")
			b.own(2, false)
			b.want("moved back", b.do(b.Context(), b.request(nil)), "200")
			if got := b.server.Counters(); got.Executions != 2 || len(got.Refused) != 0 {
				b.Errorf("counters %+v", got)
			}
		})
	}
}

// TestCancelledMove guards against requests that stay held after a move was taken back.
func TestCancelledMove(t *testing.T) {
	onBench(t, fenced, standin.Options{}, func(b *bench) {
		b.want("before", b.do(b.Context(), b.request(nil)), "200")
		b.own(1, true)
		waiting := b.start(b.Context(), b.request(nil))
		time.Sleep(time.Second)
		b.own(1, false)
		b.want("after", <-waiting, "200")
	})
}

// TestFrozenServer guards against a release while a frozen server can still execute an abandoned request,
// and against executions after the deadline when the server resumes.
func TestFrozenServer(t *testing.T) {
	onBench(t, fenced, standin.Options{}, func(b *bench) {
		b.want("before", b.do(b.Context(), b.request(nil)), "200")
		b.server.Freeze()
		frozen := b.request(nil)
		result := b.start(b.Context(), frozen)
		sent := time.Now()
		b.own(1, true)
		for len(b.dispatcher.Report().Released) == 0 {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(sent); took < DefaultMaxRequest+MaxClockSkew {
			b.Errorf("released after %v", took)
		}
		if len(b.server.Granted()) != 0 {
			b.Errorf("granted at the release: %v", b.server.Granted())
		}
		b.want("frozen", <-result, "timeout unknown")
		b.server.Thaw()
		time.Sleep(time.Second)
		b.wantRuns(frozen, 0)
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
		if got := b.server.Granted(); len(got) != 0 {
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

// TestLostUndividedServer guards against requests that wait for a lost server although others can take them.
func TestLostUndividedServer(t *testing.T) {
	onBench(t, unkeyed, standin.Options{}, func(b *bench) {
		b.server.Freeze()
		waiting := make([]<-chan string, 6)
		for i := range waiting {
			waiting[i] = b.start(b.Context(), b.request(nil))
		}
		time.Sleep(time.Second)
		b.want("running", <-waiting[0], "timeout unknown")
		b.want("waiting", <-waiting[5], "connect-failed not-run")
		b.want("afterwards", b.do(b.Context(), b.request(nil)), "connect-failed not-run")
		b.server.Thaw()
	})
}

// TestHealth guards against judgements that follow wrong reports instead of own observations.
func TestHealth(t *testing.T) {
	tests := []struct {
		name   string
		break_ func(*standin.Server)
		repair func(*standin.Server)
		want   Health
	}{
		{"frozen", (*standin.Server).Freeze, (*standin.Server).Thaw, HealthDown},
		{"reports failing and answers", func(s *standin.Server) {
			s.Set(func(w *standin.Switches) { w.Report = &backend.Health{State: backend.StateFailing} })
		}, nil, HealthUp},
		{"reports ready and fails", func(s *standin.Server) {
			s.Set(func(w *standin.Switches) {
				w.Report = &backend.Health{State: backend.StateReady}
				w.Fault = standin.FaultGarbage
			})
		}, func(s *standin.Server) {
			s.Set(func(w *standin.Switches) { w.Fault = standin.FaultNone })
		}, HealthDown},
		{"answers probes only", func(s *standin.Server) {
			s.Set(func(w *standin.Switches) { w.Fault = standin.FaultCloseBefore })
		}, func(s *standin.Server) {
			s.Set(func(w *standin.Switches) { w.Fault = standin.FaultNone })
		}, HealthDown},
		{"draining", func(s *standin.Server) {
			s.Set(func(w *standin.Switches) { w.Draining = true })
		}, func(s *standin.Server) {
			s.Set(func(w *standin.Switches) { w.Draining = false })
		}, HealthDraining},
	}
	for _, test := range tests {
		for _, config := range []Config{fenced, unkeyed} {
			onBench(t, config, standin.Options{ProbeCost: standin.DefaultProbeCost}, func(b *bench) {
				stop := make(chan struct{})
				load := func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
							b.do(b.Context(), b.request(nil))
						}
					}
				}
				go load()
				time.Sleep(time.Second)
				test.break_(b.server)
				seen := make(map[Health]bool)
				for range 1000 {
					time.Sleep(time.Millisecond)
					seen[b.dispatcher.Report().Health] = true
				}
				if !seen[test.want] || (test.want == HealthUp && len(seen) > 1) {
					b.Errorf("%s: seen %v, want %s", test.name, seen, test.want)
				}
				if test.repair != nil {
					test.repair(b.server)
					time.Sleep(5 * time.Second)
					b.want(test.name+" repaired", string(b.dispatcher.Report().Health), string(HealthUp))
				}
				close(stop)
				time.Sleep(10 * time.Second)
				b.want("afterwards", b.do(b.Context(), b.request(nil)), "200")
			})
		}
	}
}

// TestLostServer guards against renewals that keep the grants of a lost server in force: its partitions
// must be free within 2 s, with 600 ms for the requests that were sent before.
func TestLostServer(t *testing.T) {
	onBench(t, fenced, standin.Options{}, func(b *bench) {
		time.Sleep(time.Second)
		b.server.Freeze()
		lost := time.Now()
		for b.dispatcher.Report().Health != HealthDown {
			time.Sleep(time.Millisecond)
		}
		b.own(1, true)
		for len(b.dispatcher.Report().Released) == 0 {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(lost); took > 2*time.Second {
			b.Errorf("released after %v", took)
		}
	})
}

// TestDrainingServer guards against new work for a leaving server later than 3 s after its announcement.
func TestDrainingServer(t *testing.T) {
	for _, config := range []Config{fenced, unkeyed} {
		onBench(t, config, standin.Options{}, func(b *bench) {
			b.server.Set(func(s *standin.Switches) { s.ReportDraining = true })
			time.Sleep(time.Second)
			b.want("announced", b.do(b.Context(), b.request(nil)), "200")
			time.Sleep(2 * time.Second)
			before := b.server.Counters().Executions
			result := b.start(b.Context(), b.request(func(r *backend.Request) { r.Deadline = time.Now().Add(time.Second) }))
			want := "draining not-run"
			if config.Keyed {
				want = "deadline-cannot-be-met not-run" // waits for the new owner
			}
			b.want("after 3 s", <-result, want)
			if got := b.server.Counters().Executions; got != before {
				b.Errorf("%d executions after 3 s", got-before)
			}
		})
	}
}

// TestLeave guards against requests that are cut by a planned stop, and against grants that are left.
func TestLeave(t *testing.T) {
	for _, config := range []Config{fenced, unkeyed} {
		onBench(t, config, standin.Options{ServiceTime: 200 * time.Millisecond}, func(b *bench) {
			results := make([]<-chan string, 4)
			for i := range results {
				results[i] = b.start(b.Context(), b.request(nil))
			}
			time.Sleep(10 * time.Millisecond)
			if err := b.dispatcher.Leave(b.Context()); err != nil {
				b.Error(err)
			}
			for i, want := range []string{"200", "200", "not-home not-run", "not-home not-run"} {
				b.want(fmt.Sprint("request ", i), <-results[i], want)
			}
			b.want("afterwards", b.do(b.Context(), b.request(nil)), "not-home not-run")
			if len(b.server.Granted()) != 0 {
				b.Errorf("granted: %v", b.server.Granted())
			}
		})
	}
}

// TestHotKeys guards against requests of a hot key under the grant of its partition, and against a key that
// is not counted.
func TestHotKeys(t *testing.T) {
	var loads []Report
	config := fenced
	config.OnReport = func(r Report) { loads = append(loads, r) }
	onBench(t, config, standin.Options{}, func(b *bench) {
		send := func(key string) string {
			return b.do(b.Context(), b.request(func(r *backend.Request) { r.Key = key }))
		}
		for i := range 100 {
			send(fmt.Sprint(i % 10 * (i % 2)))
		}
		time.Sleep(2 * time.Second)
		b.dispatcher.Apply(Assignment{
			Owned: []Owned{
				{Token: fence.Token{Generation: 1, Seq: 1}},
				{Scope: backend.Scope{HotKey: "mine"}, Token: fence.Token{Generation: 1, Seq: 2}},
			},
			Elsewhere: map[string]bool{"other": true},
		})
		b.want("mine", send("mine"), "200")
		b.want("other", send("other"), "not-home not-run")
		if got := b.server.Granted()["kmine"]; got.Seq != 2 {
			b.Errorf("granted %v", b.server.Granted())
		}
	})
	for _, report := range loads {
		if len(report.HotKeys) > 0 {
			if report.HotKeys[0] != (HotKey{Key: "0", Requests: 50}) || report.Loads[0].Requests != 100 {
				t.Errorf("report %+v", report)
			}
			return
		}
	}
	t.Error("no report has hot keys")
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

// TestHandOver guards against a retry that runs again at the next home of the server, and against first
// requests that are refused because the record of identities is new.
func TestHandOver(t *testing.T) {
	for _, config := range []Config{fenced, unkeyed} {
		onBench(t, config, standin.Options{ServiceTime: 20 * time.Millisecond}, func(b *bench) {
			time.Sleep(time.Second)
			ran, unused := uuidV7(time.Now()), uuidV7(time.Now().Add(-time.Millisecond))
			old := b.dispatcher
			b.want("first", b.do(b.Context(), b.request(identity(ran))), "200")
			if err := old.Leave(b.Context()); err != nil {
				b.Fatal(err)
			}
			next := old.config
			b.dispatcher = Open(next, b.server.Client())
			b.own(2, false)
			b.want("without the record", b.do(b.Context(), b.request(identity(ran))), "request-identity-too-old unknown")
			b.dispatcher.ImportIdentities(old.ExportIdentities())
			old.Close()
			b.want("retry", b.do(b.Context(), b.request(identity(ran))), "repeated-request ran")
			b.want("unused", b.do(b.Context(), b.request(identity(unused))), "200")
			if got := b.server.IdentityRuns("s", ran); got != 1 {
				b.Errorf("the identity ran %d times", got)
			}
		})
	}
}
