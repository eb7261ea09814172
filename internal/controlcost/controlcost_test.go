package controlcost

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/confsync/confsim"
)

// TestFleetIsDeterministicAndReplacesGateways guards against a simulation whose cells do not form, whose replaced
// gateways do not return, or whose result depends on more than the seed.
func TestFleetIsDeterministicAndReplacesGateways(t *testing.T) {
	simulate := func() *fleet {
		f := newFleet(3, fleetConfig(8, 4, 64), true)
		f.advance(warmUpTime)
		f.resetCosts()
		f.scheduleReplacements()
		f.advance(30 * time.Second)
		return f
	}
	f, second := simulate(), simulate()
	if f.replaced != 2 || f.leaveTimeouts != 0 {
		t.Errorf("%d gateways replaced and %d leave timeouts, want 2 and 0", f.replaced, f.leaveTimeouts)
	}
	holders := 0
	for _, m := range f.ordered {
		if m.running && m.node.Role() == cell.RoleHolder {
			holders++
		}
		for name, server := range m.node.Snapshot().Servers {
			if server.Home == "" {
				t.Errorf("%s: server %s has no home", m.host, name)
			}
		}
	}
	if holders != 2 {
		t.Errorf("%d holders in 2 cells, want 2", holders)
	}
	for r := range roleCount {
		a, b := f.costs[r], second.costs[r]
		if a.messages != b.messages || a.bytes != b.bytes || a.storeCalls != b.storeCalls || a.bytes == 0 {
			t.Errorf("role %s: %d bytes, then %d with the same seed", r, a.bytes, b.bytes)
		}
	}
}

// TestPropagationRunWaitsForLastGateway guards against a revision that counts as in force before the last gateway has
// it, and against skipped revisions that never complete.
func TestPropagationRunWaitsForLastGateway(t *testing.T) {
	r := &propagationRun{pending: map[uint64]int{2: 2, 3: 2}, accepted: map[uint64]time.Duration{}, inForce: map[*confsim.Host]uint64{}}
	r.network = confsim.New(confsim.Options{})
	r.countInForce(0, 3)
	if len(r.pending) != 2 || len(r.delays) != 0 {
		t.Errorf("%d changes pending after one gateway of two", len(r.pending))
	}
	r.countInForce(0, 2)
	r.countInForce(2, 3)
	if len(r.pending) != 0 || len(r.delays) != 2 {
		t.Errorf("%d changes pending and %d complete, want 0 and 2", len(r.pending), len(r.delays))
	}
}
