package controlcost

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/confsync/confsim"
)

// Guards against a simulation whose cells never form, whose replaced gateways stay away, or whose result depends on
// more than the seed.
func TestFleetFormsReplacesAndRepeats(t *testing.T) {
	measure := func() *fleet {
		f := newFleet(3, fleetConfig(8, 4, 64), true)
		f.run(warmTime)
		f.reset()
		f.replaceMembers()
		f.run(30 * time.Second)
		return f
	}
	f, again := measure(), measure()
	if f.replaced != 2 || f.stuck != 0 {
		t.Errorf("%d gateways replaced and %d stuck, want 2 and 0", f.replaced, f.stuck)
	}
	holders := 0
	for _, m := range f.order {
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
		t.Errorf("%d holders of 2 cells", holders)
	}
	for p := range partCount {
		a, b := f.costs[p], again.costs[p]
		if a.messages != b.messages || a.bytes != b.bytes || a.storeCalls != b.storeCalls || a.bytes == 0 {
			t.Errorf("%s: %d bytes, then %d with the same seed", p, a.bytes, b.bytes)
		}
	}
}

// Guards against a change that counts as in force before the last gateway has it, and against skipped revisions.
func TestConfigRunWaitsForTheLastGateway(t *testing.T) {
	r := &configRun{pending: map[uint64]int{2: 2, 3: 2}, accepted: map[uint64]time.Duration{}, shown: map[*confsim.Host]uint64{}}
	r.network = confsim.New(confsim.Options{})
	r.passed(0, 3)
	if len(r.pending) != 2 || len(r.took) != 0 {
		t.Errorf("%d changes pending after one gateway of two", len(r.pending))
	}
	r.passed(0, 2)
	r.passed(2, 3)
	if len(r.pending) != 0 || len(r.took) != 2 {
		t.Errorf("%d changes pending and %d complete, want 0 and 2", len(r.pending), len(r.took))
	}
}
