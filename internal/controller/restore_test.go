package controller

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// restoredFleet starts three gateways and two backend servers, copies the store, and lets a third server take keys. It
// returns the gateways and the copy.
func restoredFleet(t *testing.T, store *kv.MemoryStore, orders *testOrders) (map[string]*gateway, kv.Copy) {
	t.Helper()
	put(t, store, "config", routing.Config{Version: 3, Services: map[string]routing.Service{"s": {Name: "s", Sharded: true}}})
	addServer := func(id string) {
		put(t, store, "servers/"+id, directory.Server{ID: id, Service: "s", Addr: id, Slots: 2})
	}
	addServer("a")
	addServer("b")
	gateways := map[string]*gateway{}
	for _, host := range []string{"g1", "g2", "g3"} {
		gateways[host] = startGateway(t, host, store, orders)
	}
	waitFor(allOwn(gateways, "a", "b"))
	copied := store.Copy()
	addServer("c")
	waitFor(allOwn(gateways, "a", "b", "c"))
	return gateways, copied
}

// allOwn returns a condition that holds once all gateways know that keys are owned by exactly these servers.
func allOwn(gateways map[string]*gateway, owners ...string) func() bool {
	return func() bool {
		for _, g := range gateways {
			known := g.owners()
			if len(known) != len(owners) {
				return false
			}
			for _, owner := range owners {
				if !known[owner] {
					return false
				}
			}
		}
		return true
	}
}

// recordedTable returns the ownership table that the store holds, or an empty one.
func recordedTable(t *testing.T, store kv.Store) *ownership.Table {
	t.Helper()
	item, err := store.Get(t.Context(), tableKeyPrefix+"s")
	if err != nil {
		return &ownership.Table{}
	}
	table, err := ownership.DecodeTable(item.Value, testKeys)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against an elected gateway that loses its role or its moves with a restored store, and against gateways that
// follow the restored table. Grants to two servers fail the test.
func TestElectedGatewayThroughRestore(t *testing.T) {
	for name, elections := range map[string]bool{"record in the copy": false, "record of an earlier election in the copy": true} {
		t.Run(name, func(t *testing.T) {
			store := kv.NewMemoryStore()
			gateways, copied := restoredFleet(t, store, &testOrders{t: t})
			before := electedOf(t, store)
			if elections {
				gateways[before].Resign(t.Context())
				delete(gateways, before)
				waitFor(func() bool { writer := recordedTable(t, store).Writer; return writer != "" && writer != before })
				before = electedOf(t, store)
			}
			for era := uint64(1); era <= 2; era++ {
				store.Restore(copied, "config", "servers/")
				waitFor(func() bool { return recordedTable(t, store).Era == era })
				if after := electedOf(t, store); after != before {
					t.Fatalf("gateway %q is elected after the restore, want %q", after, before)
				}
				waitFor(allOwn(gateways, "a", "b", "c"))
			}
		})
	}
}

// Guards against a table of the restored store that a gateway takes for the latest one, because it was elected just
// before. It made keys have two owners.
func TestRestoreDuringElection(t *testing.T) {
	for range 4 {
		store := kv.NewMemoryStore()
		gateways, copied := restoredFleet(t, store, &testOrders{t: t})
		former := electedOf(t, store)
		gateways[former].Resign(t.Context())
		delete(gateways, former)
		waitFor(func() bool { return electedOf(t, store) != "" })
		store.Restore(copied, "config", "servers/")
		waitFor(func() bool { return recordedTable(t, store).Era == 1 })
		waitFor(allOwn(gateways, "a", "b", "c"))
	}
}

// electedOf returns the host of the elected gateway, or "" if there is none.
func electedOf(t *testing.T, store kv.Store) string {
	t.Helper()
	item, err := store.Get(t.Context(), election.Key)
	if err != nil {
		return ""
	}
	leader, err := election.DecodeLeader(item.Value)
	if err != nil {
		t.Fatal(err)
	}
	return leader.Host
}

// Guards against a second owner of keys that were moved after the copy, and against keys that stay without an owner, if
// the elected gateway is lost together with the history of the store.
func TestElectedGatewayLostWithHistory(t *testing.T) {
	store := kv.NewMemoryStore()
	gateways, copied := restoredFleet(t, store, &testOrders{t: t})
	leader := electedOf(t, store)
	gateways[leader].stop()
	delete(gateways, leader)
	store.Restore(copied, "config", "servers/")
	waitFor(func() bool { return recordedTable(t, store).Era == 1 })
	waitFor(allOwn(gateways, "a", "b", "c"))
}

// Guards against a table that a newly elected gateway records before the others have confirmed it. The next one would take
// it for the latest, and could not have it confirmed any more.
func TestUnconfirmedTableIsNotRecorded(t *testing.T) {
	store := kv.NewMemoryStore()
	gateways, copied := restoredFleet(t, store, &testOrders{t: t})
	former := electedOf(t, store)
	for host, g := range gateways {
		if host != former && len(gateways) > 2 {
			g.stop()
			delete(gateways, host)
		}
	}
	gateways[former].stop()
	delete(gateways, former)
	store.Restore(copied, "config", "servers/")
	waitFor(func() bool { leader := electedOf(t, store); return leader != "" && leader != former })
	time.Sleep(confirmTimeout / 2)
	if table := recordedTable(t, store); table.Era != 0 {
		t.Fatalf("table of era %d recorded before it was confirmed", table.Era)
	}
	waitFor(func() bool { return recordedTable(t, store).Era == 1 })
	waitFor(allOwn(gateways, "a", "b", "c"))
}
