package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
)

// pauseDuration is longer than every lease, so that other gateways have to take over from the paused one.
const pauseDuration = 2 * time.Second

func pausedHolder(o *Options) bench.Experiment {
	return experiment{
		name:    "paused-holder",
		summary: "The control loop of a holder that is also a home pauses for 2 s.",
		scenarios: func() []*scenario {
			return []*scenario{{name: "holder paused", action: pauseHolder, evaluate: addFailedRequests}, faultFree()}
		},
	}.build(o)
}

func pauseHolder(_ context.Context, r *run) error {
	r.waitUntil(faultStart)
	host := r.holderWithHomes()
	node, ok := r.deployment.Node(host)
	if !ok {
		return errNoHolder
	}
	r.monitor.ignore(host)
	node.Loop().PauseForTest(pauseDuration)
	r.addNote("paused gateway %s after %s", host, time.Since(r.start).Round(time.Millisecond))
	return nil
}
