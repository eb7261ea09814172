package metrics

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/store/storetest"
)

func scrape(m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// Guards against changes of metric names or labels, which would break operators' dashboards, and against metrics that
// docs/operations/metrics-and-logs.md does not document.
func TestNames(t *testing.T) {
	m := New()
	m.ObserveRequest("dispatch", outcome.Unknown, 20*time.Millisecond)
	m.SetServerLoad("d-1", 5, 3)
	m.SetServerLoad("d-2", 1, 1)
	m.RemoveServer("d-2")
	m.SetLeaseRemaining(LeaseHome, 500*time.Millisecond)
	m.CountLostLease(LeaseAuthority)
	m.CountControlMessage(DirectionSent, 100)
	m.CountControlMessage(DirectionSent, 50)
	m.RegisterDroppedEvents(func() uint64 { return 7 })
	m.SetRevision(42)
	s := m.InstrumentStore(store.NewMemoryStore(storetest.NewClock()))
	_, _ = s.Get(t.Context(), "key")
	_, _ = s.CompareAndSwap(t.Context(), "key", 0, nil)
	_, _ = s.CompareAndSwap(t.Context(), "key", 0, nil)
	text := scrape(m)
	for _, line := range []string{
		`plank_requests_total{outcome="unknown",service="dispatch"} 1`,
		`plank_request_duration_seconds_bucket{service="dispatch",le="0.011"} 0`,
		`plank_request_duration_seconds_bucket{service="dispatch",le="0.025"} 1`,
		`plank_queue_length{server="d-1"} 5`,
		`plank_slots_in_use{server="d-1"} 3`,
		`plank_lease_remaining_seconds{lease="home"} 0.5`,
		`plank_leases_lost_total{lease="authority"} 1`,
		`plank_store_calls_total{kind="get",result="not-found"} 1`,
		`plank_store_calls_total{kind="compare-and-swap",result="ok"} 1`,
		`plank_store_calls_total{kind="compare-and-swap",result="conflict"} 1`,
		`plank_control_messages_total{direction="sent"} 2`,
		`plank_control_bytes_total{direction="sent"} 150`,
		`plank_timeline_dropped_events_total 7`,
		`plank_configuration_revision 42`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("metrics output has no line %q", line)
		}
	}
	if strings.Contains(text, "d-2") {
		t.Error("metrics of a removed server are still exported")
	}
	page, err := os.ReadFile("../../docs/operations/metrics-and-logs.md")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(text) {
		name, isHelp := strings.CutPrefix(line, "# HELP plank_")
		if name, _, _ = strings.Cut(name, " "); isHelp && !strings.Contains(string(page), "`plank_"+name+"`") {
			t.Errorf("docs/operations/metrics-and-logs.md does not document plank_%s", name)
		}
	}
}

// Guards against an instrumented store that returns other results than the store it wraps.
func TestInstrumentedStoreContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Fixture {
		clock := storetest.NewClock()
		memory := store.NewMemoryStore(clock)
		return storetest.Fixture{Store: New().InstrumentStore(memory), Backing: memory, Clock: clock}
	})
}
