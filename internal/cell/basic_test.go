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

// TestRaise guards against a solo holder that stays without a successor because all members promised a later
// generation to a recovery that did not finish.
func TestRaise(t *testing.T) {
	w := newWorld(1, testConfig(3, 0), faults{})
	for w.holder() == nil {
		w.run(ms)
	}
	const promised = 9
	holder := w.holder()
	for _, host := range w.hosts {
		if w.gateways[host] != holder {
			w.gateways[host].node.promised = promised
		}
	}
	w.run(6 * time.Second)
	pair := holder.node.Pair()
	if pair.Generation < promised || pair.Successor.IsZero() || !w.served() || len(w.violations) > 0 {
		t.Errorf("pair %+v, idle %v, violations %v", pair, w.idle(60*ms), w.violations)
	}
}
