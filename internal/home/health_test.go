package home

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestHealth guards against judgements that follow wrong reports instead of own observations.
func TestHealth(t *testing.T) {
	set := func(change func(*standin.FaultConfig)) func(*standin.Server) {
		return func(s *standin.Server) { s.ConfigureFaults(change) }
	}
	repair := set(func(w *standin.FaultConfig) { *w = standin.FaultConfig{} })
	tests := []struct {
		name          string
		cause, repair func(*standin.Server)
		want          Health
	}{
		{"frozen", (*standin.Server).Freeze, (*standin.Server).Thaw, HealthDown},
		{"reports failing and answers", set(func(w *standin.FaultConfig) {
			w.Report = &backend.Health{State: backend.StateFailing}
		}), nil, HealthUp},
		{"reports ready and fails", set(func(w *standin.FaultConfig) {
			w.Report, w.Fault = &backend.Health{State: backend.StateReady}, standin.FaultInvalidHTTP
		}), repair, HealthDown},
		{"answers probes only", set(func(w *standin.FaultConfig) { w.Fault = standin.FaultCloseBeforeExecution }), repair, HealthDown},
		{"draining", set(func(w *standin.FaultConfig) { w.Draining = true }), repair, HealthDraining},
	}
	for _, test := range tests {
		for _, config := range []Config{fenced, unkeyed} {
			onBench(t, config, standin.Options{ProbeDelay: standin.DefaultProbeDelay}, func(b *bench) {
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
				test.cause(b.server)
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

// TestDrainingServer guards against new work for a leaving server later than 3 s after its announcement.
func TestDrainingServer(t *testing.T) {
	for _, config := range []Config{fenced, unkeyed} {
		onBench(t, config, standin.Options{}, func(b *bench) {
			b.server.ConfigureFaults(func(s *standin.FaultConfig) { s.ReportDraining = true })
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

// TestLatchedScopesNeedAnotherToken guards against a server that came back and is used under tokens whose last grant the
// holder has already waited out.
func TestLatchedScopesNeedAnotherToken(t *testing.T) {
	config := fenced
	config.RequireNewTokenAfterDown = true
	onBench(t, config, standin.Options{}, func(b *bench) {
		b.server.Freeze()
		time.Sleep(time.Second)
		b.server.Thaw()
		time.Sleep(2 * time.Second)
		if got := b.dispatcher.Report().Health; got != HealthDown {
			b.Errorf("health %s before another token, want down", got)
		}
		b.own(9, false)
		time.Sleep(500 * time.Millisecond)
		b.want("under another token", b.do(b.Context(), b.request(func(*backend.Request) {})), "200")
		if got := b.dispatcher.Report().Health; got != HealthUp {
			b.Errorf("health %s under another token, want up", got)
		}
	})
}
