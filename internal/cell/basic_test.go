package cell

import (
	"strings"
	"testing"
	"time"
)

// TestStart guards against a cell that does not serve all keys after its first start.
func TestStart(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 5, 12} {
		w := newSimulation(uint64(hosts), testConfig(hosts, 0), faults{})
		w.traced = true
		took, ok := w.waitServed(5 * time.Second)
		w.run(2 * time.Second)
		if !ok || len(w.violations) > 0 {
			t.Fatalf("hosts %d: served %v after %v, unserved %v, violations %v\n%s", hosts, ok, took, w.unservedUnits(40*ms), w.violations, strings.Join(w.trace, "\n"))
		}
		t.Logf("hosts %d: served after %v, holder %s, pair %+v", hosts, took, w.holder().host, w.holder().node.Pair())
	}
}

// TestRaise guards against a solo holder that never gets a successor because all members promised a later generation to
// an unfinished recovery.
func TestRaise(t *testing.T) {
	w := newSimulation(1, testConfig(3, 0), faults{})
	for w.holder() == nil {
		w.run(ms)
	}
	const promisedGeneration = 9
	holder := w.holder()
	for _, host := range w.hosts {
		if w.gateways[host] != holder {
			w.gateways[host].node.promised = promisedGeneration
		}
	}
	w.run(6 * time.Second)
	pair := holder.node.Pair()
	if pair.Generation < promisedGeneration || pair.Successor.IsZero() || !w.served() || len(w.violations) > 0 {
		t.Errorf("pair %+v, unserved %v, violations %v", pair, w.unservedUnits(60*ms), w.violations)
	}
}
