package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// slowStoreDelay is the delay of each call to the slow store.
const slowStoreDelay = 500 * time.Millisecond

func storeDown(o *Options) bench.Experiment {
	return experiment{
		name:    "store-down",
		summary: "A gateway is lost while the store is down, and while it is slow.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "store down, gateway lost", action: killHolderWithStoreFault((*store.MemoryStore).SetDown, true), evaluate: addFailedRequests},
				{name: "store slow, gateway lost", action: killHolderWithStoreFault((*store.MemoryStore).SetDelay, delayCall), evaluate: addFailedRequests},
				{name: "store up, gateway lost", action: killHolder, evaluate: addFailedRequests},
				faultFree(),
			}
		},
	}.build(o)
}

func delayCall(store.Call) time.Duration { return slowStoreDelay }

// killHolderWithStoreFault returns an action that injects a fault of the store and then kills a holder.
func killHolderWithStoreFault[T any](inject func(*store.MemoryStore, T), value T) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		inject(r.deployment.Store, value)
		return killHolder(ctx, r)
	}
}
