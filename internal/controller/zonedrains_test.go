package controller

import (
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// Guards against keys that stay with the servers of a drained zone, also when the elected gateway changes meanwhile, and
// against servers that get none after the drain was taken back.
func TestZoneDrain(t *testing.T) {
	store := kv.NewMemoryStore()
	orders := &testOrders{t: t}
	put(t, store, "config", routing.Config{Version: 3, Services: map[string]routing.Service{"s": {Name: "s", Sharded: true}}})
	for id, zone := range map[string]string{"a": "z1", "b": "z2", "c": "z2"} {
		put(t, store, "servers/"+id, directory.Server{ID: id, Service: "s", Addr: id, Zone: zone, Slots: 2})
	}
	gateways := map[string]*gateway{}
	for _, host := range []string{"g1", "g2", "g3"} {
		gateways[host] = startGateway(t, host, store, orders)
	}
	waitFor(allOwn(gateways, "a", "b", "c"))
	resigning := electedOf(t, store)
	put(t, store, "drains/z2", struct{}{})
	gateways[resigning].stop()
	delete(gateways, resigning)
	waitFor(allOwn(gateways, "a"))
	for host, g := range gateways {
		if state := g.dataPlane.view.Load().Zones["z2"]; !state.Drained {
			t.Errorf("gateway %s: state %+v", host, state)
		}
	}
	if _, err := store.Commit(t.Context(), kv.Txn{Deletes: []string{"drains/z2"}}); err != nil {
		t.Fatal(err)
	}
	waitFor(allOwn(gateways, "a", "b", "c"))
}
