package home

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestHealth guards against a health status that follows wrong reports of the server instead of the results of requests
// and probes.
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
		for _, config := range []Config{fencedConfig, unkeyedConfig} {
			withHarness(t, config, standin.Options{ProbeDelay: standin.ExampleProbeDelay}, func(h *harness) {
				stop := make(chan struct{})
				load := func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
							h.do(h.Context(), h.request(nil))
						}
					}
				}
				go load()
				time.Sleep(time.Second)
				test.cause(h.server)
				seen := make(map[Health]bool)
				for range 1000 {
					time.Sleep(time.Millisecond)
					seen[h.dispatcher.Report().Health] = true
				}
				if !seen[test.want] || (test.want == HealthUp && len(seen) > 1) {
					h.Errorf("%s: seen %v, want %s", test.name, seen, test.want)
				}
				if test.repair != nil {
					test.repair(h.server)
					time.Sleep(5 * time.Second)
					h.checkResult(test.name+" repaired", string(h.dispatcher.Report().Health), string(HealthUp))
				}
				close(stop)
				time.Sleep(10 * time.Second)
				h.checkResult("afterwards", h.do(h.Context(), h.request(nil)), "200")
			})
		}
	}
}

// TestLostServerOfUnkeyedService guards against requests that wait for a lost server although other servers can take
// them.
func TestLostServerOfUnkeyedService(t *testing.T) {
	withHarness(t, unkeyedConfig, standin.Options{}, func(h *harness) {
		h.server.Freeze()
		waiting := make([]<-chan string, 6)
		for i := range waiting {
			waiting[i] = h.startRequest(h.Context(), h.request(nil))
		}
		time.Sleep(time.Second)
		h.checkResult("in execution", <-waiting[0], "timeout unknown")
		h.checkResult("waiting", <-waiting[5], "connect-failed not-run")
		h.checkResult("afterwards", h.do(h.Context(), h.request(nil)), "connect-failed not-run")
		h.server.Thaw()
	})
}

// TestDrainingServer guards against new requests to a draining server later than 3 s after its announcement.
func TestDrainingServer(t *testing.T) {
	for _, config := range []Config{fencedConfig, unkeyedConfig} {
		withHarness(t, config, standin.Options{}, func(h *harness) {
			h.server.ConfigureFaults(func(s *standin.FaultConfig) { s.ReportDraining = true })
			time.Sleep(time.Second)
			h.checkResult("announced", h.do(h.Context(), h.request(nil)), "200")
			time.Sleep(2 * time.Second)
			before := h.server.Counters().Executions
			result := h.startRequest(h.Context(), h.request(func(r *backend.Request) { r.Deadline = time.Now().Add(time.Second) }))
			want := "draining not-run"
			if config.Keyed {
				want = "deadline-cannot-be-met not-run" // waits for the new owner
			}
			h.checkResult("after 3 s", <-result, want)
			if got := h.server.Counters().Executions; got != before {
				h.Errorf("%d executions after 3 s", got-before)
			}
		})
	}
}

// TestScopesNeedNewTokenAfterDown guards against use of a recovered server under old tokens: the holder has already
// waited for the expiry of their last grants.
func TestScopesNeedNewTokenAfterDown(t *testing.T) {
	config := fencedConfig
	config.RequireNewTokenAfterDown = true
	withHarness(t, config, standin.Options{}, func(h *harness) {
		h.server.Freeze()
		time.Sleep(time.Second)
		h.server.Thaw()
		time.Sleep(2 * time.Second)
		if got := h.dispatcher.Report().Health; got != HealthDown {
			h.Errorf("health %s before another token, want down", got)
		}
		h.setOwned(9, false)
		time.Sleep(500 * time.Millisecond)
		h.checkResult("under another token", h.do(h.Context(), h.request(func(*backend.Request) {})), "200")
		if got := h.dispatcher.Report().Health; got != HealthUp {
			h.Errorf("health %s under another token, want up", got)
		}
	})
}
