package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// slowStore is the delay of each call of the slow store.
const slowStore = 500 * time.Millisecond

func storeDown(o *Options) bench.Experiment {
	return experiment{
		name:    "store-down",
		summary: "A gateway is lost while the store is down, and while it is slow.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "store down, gateway lost", act: withStore((*store.MemoryStore).SetDown, true), evaluate: lossOutcomes},
				{name: "store slow, gateway lost", act: withStore((*store.MemoryStore).SetDelay, slow), evaluate: lossOutcomes},
				{name: "store up, gateway lost", act: killHolder, evaluate: lossOutcomes},
				undisturbed(),
			}
		},
	}.build(o)
}

func slow(store.Call) time.Duration { return slowStore }

// withStore switches a fault of the store on and then loses a gateway.
func withStore[T any](set func(*store.MemoryStore, T), value T) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		set(r.deployment.Store, value)
		return killHolder(ctx, r)
	}
}
