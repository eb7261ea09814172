package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
)

// pauseLength is longer than each lease, so that others must act in place of the paused gateway.
const pauseLength = 2 * time.Second

func pausedHolder(o *Options) bench.Experiment {
	return experiment{
		name:    "paused-holder",
		summary: "The control loop of a holder that is also a home stops for 2 s and goes on.",
		scenarios: func() []*scenario {
			return []*scenario{{name: "holder paused", act: pauseHolder, evaluate: lossOutcomes}, undisturbed()}
		},
	}.build(o)
}

func pauseHolder(_ context.Context, r *run) error {
	r.at(lossAt)
	host := r.holderWithHomes()
	node, ok := r.deployment.Node(host)
	if !ok {
		return errNoHolder
	}
	r.watcher.ignore(host)
	node.Loop().PauseForTest(pauseLength)
	r.note("paused %s after %s", host, time.Since(r.start).Round(time.Millisecond))
	return nil
}
