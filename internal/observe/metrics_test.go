package observe

import (
	"context"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

// Guards against metrics without documentation, and against documentation of metrics that do not exist.
func TestMetricsAreDocumented(t *testing.T) {
	m := New()
	m.ObserveRequest("once", "served", time.Second)
	m.CountRefusal("servers full")
	m.CountNotice("leaving")
	m.CountAttempt("answer")
	m.CountReplacedResponse(503)
	m.CountRetry(true)
	m.CountHedge("sent")
	m.CountOrder("grant", nil)
	if _, err := NewStore(kv.NewMemoryStore(), m).List(context.Background(), ""); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	served := make(map[string]bool)
	for _, match := range regexp.MustCompile(`(?m)^# TYPE (\S+) `).FindAllStringSubmatch(recorder.Body.String(), -1) {
		served[match[1]] = true
	}
	page, err := os.ReadFile("../../docs/operations/metrics-and-logs.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "## Metrics of plank-entry")
	if !found {
		t.Fatal("the page has no section on plank-entry")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	documented := make(map[string]bool)
	for _, match := range regexp.MustCompile("`(plank_[a-z_]+)`").FindAllStringSubmatch(section, -1) {
		documented[match[1]] = true
	}
	for name := range served {
		if !documented[name] {
			t.Errorf("%s is served and not documented", name)
		}
	}
	for name := range documented {
		if !served[name] {
			t.Errorf("%s is documented and not served", name)
		}
	}
}
