package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

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
			if len(report.Released) != 1 || report.Released[0].Token.Seq != 1 || len(b.server.ActiveGrants()) != 0 {
				b.Errorf("report %+v, granted %v", report, b.server.ActiveGrants())
			}
			b.dispatcher.Apply(Assignment{})
			b.want("waiting", <-waiting, "not-home not-run")
			b.want("afterwards", b.do(b.Context(), b.request(nil)), "not-home not-run")
			b.own(2, false)
			b.want("moved back", b.do(b.Context(), b.request(nil)), "200")
			b.own(2, true)
			waiting = b.start(b.Context(), b.request(nil))
			time.Sleep(time.Second)
			b.own(2, false)
			b.want("move taken back", <-waiting, "200")
			if got := b.server.Counters(); got.Executions != 3 || len(got.Refused) != 0 {
				b.Errorf("counters %+v", got)
			}
		})
	}
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
		if len(b.server.ActiveGrants()) != 0 {
			b.Errorf("granted at the release: %v", b.server.ActiveGrants())
		}
		b.want("frozen", <-result, "timeout unknown")
		b.server.Thaw()
		time.Sleep(time.Second)
		b.wantRuns(frozen, 0)
	})
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
			if len(b.server.ActiveGrants()) != 0 {
				b.Errorf("granted: %v", b.server.ActiveGrants())
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
			Owned: []OwnedScope{
				{Token: fence.Token{Generation: 1, Seq: 1}},
				{Scope: backend.Scope{HotKey: "mine"}, Token: fence.Token{Generation: 1, Seq: 2}},
			},
			RemoteHotKeys: map[string]bool{"other": true},
		})
		b.want("mine", send("mine"), "200")
		b.want("other", send("other"), "not-home not-run")
		if got := b.server.ActiveGrants()["kmine"]; got.Seq != 2 {
			b.Errorf("granted %v", b.server.ActiveGrants())
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
