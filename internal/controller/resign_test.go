package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// countingOrders counts grants.
type countingOrders struct {
	testOrders
	grants atomic.Int64
}

func (o *countingOrders) Grant(ctx context.Context, grant ownership.Grant) (ownership.Answer, error) {
	o.grants.Add(1)
	return o.testOrders.Grant(ctx, grant)
}

// Guards against keys without an owner because the elected gateway is stopped while the store is unreachable, and
// against grants that it sends after it has resigned.
func TestResignWhileStoreIsUnreachable(t *testing.T) {
	store := &failingStore{Store: kv.NewMemoryStore()}
	orders := &countingOrders{testOrders: testOrders{t: t}}
	put(t, store, "config", routing.Config{Version: 3, Services: map[string]routing.Service{"s": {Name: "s", Sharded: true}}})
	put(t, store, "servers/a", directory.Server{ID: "a", Service: "s", Addr: "a", Slots: 2})
	g := startGateway(t, "g1", store, orders)
	waitFor(func() bool { return g.owners()["a"] })
	store.unavailable.Store(true)
	resigned := make(chan struct{})
	go func() {
		g.Resign(t.Context())
		close(resigned)
	}()
	before := orders.grants.Load()
	time.Sleep(g.Ownership.GrantDuration)
	if orders.grants.Load() == before {
		t.Fatal("no grant was renewed while the store was unreachable")
	}
	store.unavailable.Store(false)
	<-resigned
	time.Sleep(g.Ownership.OrderTimeout)
	before = orders.grants.Load()
	time.Sleep(2 * g.Ownership.RenewInterval)
	if orders.grants.Load() != before {
		t.Fatal("grants were sent after the gateway had resigned")
	}
}
