package cell

import (
	"strings"
	"testing"
	"time"
)

// TestStart guards against a cell that does not serve after its first start.
func TestStart(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 5, 12} {
		w := newWorld(uint64(hosts), testConfig(hosts, 0), faults{})
		w.traced = true
		took, ok := w.waitServed(5 * time.Second)
		w.run(2 * time.Second)
		if !ok || len(w.violations) > 0 {
			t.Fatalf("hosts %d: served %v after %v, idle %v, violations %v\n%s", hosts, ok, took, w.idle(40*ms), w.violations, strings.Join(w.trace, "\n"))
		}
		t.Logf("hosts %d: served after %v, holder %s, pair %+v", hosts, took, w.holder().host, w.holder().node.Pair())
	}
}
