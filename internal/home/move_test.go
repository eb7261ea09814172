package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestScopeRelease guards against a release while requests are in execution, and against dispatch during or after a
// release.
func TestScopeRelease(t *testing.T) {
	for _, config := range []Config{fencedConfig, {Keyed: true, Slots: 2}} {
		withHarness(t, config, standin.Options{RunTime: 300 * time.Millisecond}, func(h *harness) {
			running := h.startRequest(h.Context(), h.request(nil))
			h.setOwned(1, true)
			waiting := h.startRequest(h.Context(), h.request(nil))
			time.Sleep(250 * time.Millisecond)
			if got := h.dispatcher.Report().Released; len(got) != 0 {
				h.Errorf("released while a request executes: %v", got)
			}
			h.checkResult("running", <-running, "200")
			time.Sleep(250 * time.Millisecond)
			report := h.dispatcher.Report()
			if len(report.Released) != 1 || report.Released[0].Token.Seq != 1 || len(h.server.ActiveGrants()) != 0 {
				h.Errorf("report %+v, granted %v", report, h.server.ActiveGrants())
			}
			h.dispatcher.Apply(Assignment{})
			h.checkResult("waiting", <-waiting, "not-home not-run")
			h.checkResult("afterwards", h.do(h.Context(), h.request(nil)), "not-home not-run")
			h.setOwned(2, false)
			h.checkResult("moved back", h.do(h.Context(), h.request(nil)), "200")
			h.setOwned(2, true)
			waiting = h.startRequest(h.Context(), h.request(nil))
			time.Sleep(time.Second)
			h.setOwned(2, false)
			h.checkResult("move canceled", <-waiting, "200")
			if got := h.server.Counters(); got.Executions != 3 || len(got.Refused) != 0 {
				h.Errorf("counters %+v", got)
			}
		})
	}
}

// TestFrozenServer guards against a release while a frozen server may still execute an abandoned request, and against
// executions after the deadline when the server resumes.
func TestFrozenServer(t *testing.T) {
	withHarness(t, fencedConfig, standin.Options{}, func(h *harness) {
		h.checkResult("before", h.do(h.Context(), h.request(nil)), "200")
		h.server.Freeze()
		frozen := h.request(nil)
		result := h.startRequest(h.Context(), frozen)
		sent := time.Now()
		h.setOwned(1, true)
		for len(h.dispatcher.Report().Released) == 0 {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(sent); took < DefaultMaxRunTime+MaxClockSkew {
			h.Errorf("released after %v", took)
		}
		if len(h.server.ActiveGrants()) != 0 {
			h.Errorf("granted at the release: %v", h.server.ActiveGrants())
		}
		h.checkResult("frozen", <-result, "timeout unknown")
		h.server.Thaw()
		time.Sleep(time.Second)
		h.checkExecutions(frozen, 0)
	})
}

// TestLostServer guards against renewals that keep the grants of a lost server in force: its partitions must be free
// within 2 s, of which 600 ms are for the requests that were sent before.
func TestLostServer(t *testing.T) {
	withHarness(t, fencedConfig, standin.Options{}, func(h *harness) {
		time.Sleep(time.Second)
		h.server.Freeze()
		frozenAt := time.Now()
		for h.dispatcher.Report().Health != HealthDown {
			time.Sleep(time.Millisecond)
		}
		h.setOwned(1, true)
		for len(h.dispatcher.Report().Released) == 0 {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(frozenAt); took > 2*time.Second {
			h.Errorf("released after %v", took)
		}
	})
}

// TestLeave guards against requests that are cut off by a planned stop, and against grants that remain after it.
func TestLeave(t *testing.T) {
	for _, config := range []Config{fencedConfig, unkeyedConfig} {
		withHarness(t, config, standin.Options{RunTime: 200 * time.Millisecond}, func(h *harness) {
			results := make([]<-chan string, 4)
			for i := range results {
				results[i] = h.startRequest(h.Context(), h.request(nil))
			}
			time.Sleep(10 * time.Millisecond)
			if err := h.dispatcher.Leave(h.Context()); err != nil {
				h.Error(err)
			}
			for i, want := range []string{"200", "200", "not-home not-run", "not-home not-run"} {
				h.checkResult(fmt.Sprint("request ", i), <-results[i], want)
			}
			h.checkResult("afterwards", h.do(h.Context(), h.request(nil)), "not-home not-run")
			if len(h.server.ActiveGrants()) != 0 {
				h.Errorf("granted: %v", h.server.ActiveGrants())
			}
		})
	}
}

// TestHotKeys guards against requests for a hot key that are sent under the grant of its partition, and against keys
// that are not counted.
func TestHotKeys(t *testing.T) {
	var reports []Report
	config := fencedConfig
	config.OnReport = func(r Report) { reports = append(reports, r) }
	withHarness(t, config, standin.Options{}, func(h *harness) {
		send := func(key string) string {
			return h.do(h.Context(), h.request(func(r *backend.Request) { r.Key = key }))
		}
		for i := range 100 {
			send(fmt.Sprint(i % 10 * (i % 2)))
		}
		time.Sleep(2 * time.Second)
		h.dispatcher.Apply(Assignment{
			Owned: []OwnedScope{
				{Token: fence.Token{Generation: 1, Seq: 1}},
				{Scope: backend.Scope{HotKey: "mine"}, Token: fence.Token{Generation: 1, Seq: 2}},
			},
			RemoteHotKeys: map[string]bool{"other": true},
		})
		h.checkResult("mine", send("mine"), "200")
		h.checkResult("other", send("other"), "not-home not-run")
		if got := h.server.ActiveGrants()["kmine"]; got.Seq != 2 {
			h.Errorf("granted %v", h.server.ActiveGrants())
		}
	})
	for _, report := range reports {
		if len(report.HotKeys) > 0 {
			if report.HotKeys[0] != (HotKey{Key: "0", Requests: 50}) || report.Loads[0].Requests != 100 {
				t.Errorf("report %+v", report)
			}
			return
		}
	}
	t.Error("no report has hot keys")
}
