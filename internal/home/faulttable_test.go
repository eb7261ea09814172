package home

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestFaultTable guards against wrong outcomes reported to the client. Each row is one fault of the server: the result
// of the request, how often it was executed, and the result of a retry with the same identity after the fault is gone.
func TestFaultTable(t *testing.T) {
	fault := func(f standin.Fault) func(*standin.Server) {
		return func(s *standin.Server) { s.ConfigureFaults(func(w *standin.FaultConfig) { w.Fault = f }) }
	}
	tests := []struct {
		name  string
		cause func(*standin.Server)
		first string
		runs  int
		// retry is the result of a retry if the request is not idempotent. Idempotent requests are executed again.
		retry string
	}{
		{"none", fault(standin.FaultNone), "200", 1, "repeated-request ran"},
		{"shed", fault(standin.FaultShed), "backend-shed-load not-run", 0, "200"},
		{"close before", fault(standin.FaultCloseBeforeExecution), "connection-lost unknown", 0, "repeated-request unknown"},
		{"close after", fault(standin.FaultCloseAfterExecution), "connection-lost unknown", 1, "repeated-request unknown"},
		{"cut head", fault(standin.FaultTruncatedHeader), "connection-lost unknown", 1, "repeated-request unknown"},
		{"cut body", fault(standin.FaultTruncatedBody), "cut", 1, "repeated-request ran"},
		{"cut chunked", fault(standin.FaultTruncatedChunkedBody), "cut", 1, "repeated-request ran"},
		{"garbage", fault(standin.FaultInvalidHTTP), "connection-lost unknown", 1, "repeated-request unknown"},
		{"no length", fault(standin.FaultNoContentLength), "bad-answer unknown", 1, "repeated-request unknown"},
		{"other id", fault(standin.FaultWrongRequestID), "bad-answer unknown", 1, "repeated-request unknown"},
		{"twice", fault(standin.FaultDuplicateResponse), "200", 1, "repeated-request ran"},
		{"slow body", fault(standin.FaultSlowBody), "cut", 1, "repeated-request ran"},
		{"unmarked 503", fault(standin.FaultUnmarked503), "503", 1, "repeated-request ran"},
		{"draining", func(s *standin.Server) { s.ConfigureFaults(func(w *standin.FaultConfig) { w.Draining = true }) },
			"draining not-run", 0, "200"},
		{"frozen", (*standin.Server).Freeze, "timeout unknown", 0, "repeated-request unknown"},
		{"probes fail", func(s *standin.Server) { s.ConfigureFaults(func(w *standin.FaultConfig) { w.FailProbes = true }) },
			"200", 1, "repeated-request ran"},
		{"wrong report", func(s *standin.Server) {
			s.ConfigureFaults(func(w *standin.FaultConfig) { w.Report = &backend.Health{State: backend.StateFailing, InProgress: 99} })
		}, "200", 1, "repeated-request ran"},
		{"lagging report", func(s *standin.Server) { s.ConfigureFaults(func(w *standin.FaultConfig) { w.ReportLag = time.Minute }) },
			"200", 1, "repeated-request ran"},
		{"lost grants", func(s *standin.Server) { s.DropGrants() }, "stale-grant not-run", 0, "200"},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				withHarness(t, fencedConfig, standin.Options{ColdStart: time.Second, ColdFactor: 2}, func(h *harness) {
					send := func() (string, *backend.Request) {
						req := h.request(func(r *backend.Request) { r.Idempotent, r.Identity = idempotent, "identity" })
						return h.do(h.Context(), req), req
					}
					h.checkResult("before", h.do(h.Context(), h.request(nil)), "200")
					test.cause(h.server)
					got, first := send()
					time.Sleep(time.Second)
					h.checkResult("first", got, test.first)
					h.checkExecutions(first, test.runs)
					h.server.Thaw()
					h.server.ConfigureFaults(func(s *standin.FaultConfig) { *s = standin.FaultConfig{} })
					time.Sleep(10 * time.Second)
					got, second := send()
					want, runs := test.retry, 1-test.runs
					if idempotent {
						want = "200"
					}
					if want != "200" {
						runs = 0
					} else if idempotent {
						runs = 1
					}
					h.checkResult("retry", got, want)
					h.checkExecutions(second, runs)
					h.checkExecutions(first, test.runs)
					if got := h.server.IdentityExecutions("s", "identity"); !idempotent && got > 1 {
						h.Errorf("the identity was executed %d times", got)
					}
				})
			})
		}
	}
}
