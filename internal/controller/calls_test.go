package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// reusedAddress rejects all orders to one address.
type reusedAddress struct {
	testOrders

	// mu protects addr.
	mu   sync.Mutex
	addr string
}

func (o *reusedAddress) rejects(addr string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addr == addr
}

func (o *reusedAddress) Grant(ctx context.Context, grant ownership.Grant) (ownership.Answer, error) {
	if o.rejects(grant.Server.Addr) {
		return ownership.Answer{}, ownership.ErrRejected
	}
	return o.testOrders.Grant(ctx, grant)
}

func (o *reusedAddress) Release(ctx context.Context, release ownership.Release) (ownership.Answer, error) {
	if o.rejects(release.Server.Addr) {
		return ownership.Answer{}, ownership.ErrRejected
	}
	return o.testOrders.Release(ctx, release)
}

// Guards against keys that stay without an owner until the grants of a server have expired, although a server of
// another service runs at its address. The elected gateway before is lost without a trace, so it may still act.
func TestAddressOfOwnerIsReused(t *testing.T) {
	store := kv.NewMemoryStore()
	orders := &reusedAddress{testOrders: testOrders{t: t}}
	put(t, store, "config", routing.Config{Version: 3, Services: map[string]routing.Service{"s": {Name: "s", Sharded: true}}})
	put(t, store, "servers/a", directory.Server{ID: "a", Service: "s", Addr: "a", Slots: 2})
	put(t, store, "servers/b", directory.Server{ID: "b", Service: "s", Addr: "b", Slots: 2})
	first := startGateway(t, "g1", store, orders)
	waitFor(func() bool { return len(first.owners()) == 2 })
	first.stop()
	orders.mu.Lock()
	orders.addr = "a"
	orders.mu.Unlock()
	orders.testOrders.mu.Lock()
	for key, owner := range orders.owners {
		if owner == "a" {
			orders.owners[key] = ""
		}
	}
	orders.testOrders.mu.Unlock()
	put(t, store, "servers/c", directory.Server{ID: "c", Service: "other", Addr: "a", Slots: 2})
	second := startGateway(t, "g2", store, orders)
	started := time.Now()
	waitFor(func() bool { owners := second.owners(); return len(owners) == 1 && owners["b"] })
	grace := second.Ownership.PredecessorGrace + second.Ownership.GrantDuration
	if took := time.Since(started); took > second.Election.TTL+grace/2 {
		t.Fatalf("keys of the lost server were without an owner for %v, want less than the grace of the former gateway, %v", took, grace)
	}
}
