package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
)

func rollingGateways(o *Options) bench.Experiment {
	return experiment{
		name:    "rolling-gateways",
		summary: "All gateways are replaced in sequence by planned stops and restarts under load.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "all gateways replaced", expectNoFailures: true, action: replaceGateways},
				{name: "without the replacement", expectNoFailures: true},
			}
		},
	}.build(o)
}

// replaceGateways performs a planned stop and a restart of each gateway, and waits until the deployment is ready again
// before the next one.
func replaceGateways(ctx context.Context, r *run) error {
	r.waitUntil(0.1)
	for _, host := range r.deployment.Config.Hosts {
		if err := r.stopGateway(ctx, host.Name); err != nil {
			return err
		}
		if err := r.deployment.StartGateway(host.Name); err != nil {
			return err
		}
		readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
		err := r.deployment.WaitReady(readyCtx)
		cancel()
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
	}
	return nil
}
