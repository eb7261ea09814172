package live

import (
	"slices"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/examples"
	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// TestMovePortsAssignsUniqueAddresses guards against deployments that share a port, and against services that clients
// cannot reach after the move.
func TestMovePortsAssignsUniqueAddresses(t *testing.T) {
	for _, name := range []string{examples.Moravia, examples.Kyushu} {
		c, err := examples.Config(name)
		if err != nil {
			t.Fatal(err)
		}
		moved, err := movePorts(c, portStep)
		if err != nil {
			t.Fatal(err)
		}
		seen := make(map[string]bool)
		for i, address := range addresses(moved) {
			if seen[*address] || *address == *addresses(c)[i] {
				t.Errorf("%s: address %s is used twice or was not moved", name, *address)
			}
			seen[*address] = true
		}
	}
}

// TestZoneRouterPicksGatewayInZoneOfKey guards against requests that enter outside the zone of their key. They would
// hide whether an isolated zone still serves its keys.
func TestZoneRouterPicksGatewayInZoneOfKey(t *testing.T) {
	c, err := examples.Config(examples.Moravia)
	if err != nil {
		t.Fatal(err)
	}
	z := newZoneRouter(c)
	service, _ := c.Service("tracker")
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		address, ok := z.pick("tracker", key)
		cellName := c.Place(service).Cell(keyspace.PartitionOf(key, service.Partitions))
		if !ok || z.zones[address] != c.CellHosts(cellName)[0].Zone {
			t.Errorf("key %s is routed to %s, want a gateway of cell %s", key, address, cellName)
		}
	}
	if _, ok := z.pick("dispatch", "a"); ok {
		t.Error("pick returned a gateway for a service that is not sharded")
	}
}

// TestInForceEverywhereReturnsTimeOfLastGateway guards against a revision that counts as in force before the last
// gateway has it, or as missed because a gateway went directly to a later one.
func TestInForceEverywhereReturnsTimeOfLastGateway(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	r := &revisionHistory{byHost: map[string][]revisionChange{
		"a": {{revision: 1, at: at(1)}, {revision: 2, at: at(2)}, {revision: 3, at: at(3)}},
		"b": {{revision: 1, at: at(1)}, {revision: 3, at: at(5)}},
	}}
	for _, c := range []struct {
		revision uint64
		want     int64
		ok       bool
	}{{1, 1, true}, {2, 5, true}, {3, 5, true}, {4, 0, false}} {
		got, ok := r.inForceEverywhere(c.revision)
		if ok != c.ok || ok && got != at(c.want) {
			t.Errorf("revision %d in force everywhere at %v, %v; want %d, %v", c.revision, got, ok, c.want, c.ok)
		}
	}
}

// TestConfigBurstReportsAllColumns guards against scenarios that fail to start, act or evaluate. It checks no measured
// times.
func TestConfigBurstReportsAllColumns(t *testing.T) {
	o := &Options{Duration: time.Second, Scale: 0.01, Deployment: examples.Moravia, Revisions: 20}
	for _, e := range experiments(o) {
		if e.Name != "config-burst" {
			continue
		}
		report, err := e.Run(1)
		if err != nil {
			t.Fatal(err)
		}
		if len(report.Measurements) != len(e.Baselines)+1 {
			t.Fatalf("%d columns, want one and %d baselines", len(report.Measurements), len(e.Baselines))
		}
		for _, m := range report.Measurements {
			for _, name := range []string{"requests answered", "promise violations", "store calls"} {
				if !slices.ContainsFunc(m.Figures, func(f bench.Figure) bool { return f.Name == name }) {
					t.Errorf("column %s has no figure %q", m.System, name)
				}
			}
		}
	}
}
