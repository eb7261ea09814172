package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
)

func rolling(o *Options) bench.Experiment {
	return experiment{
		name:    "rolling-gateways",
		summary: "Every gateway is replaced as planned, one after the other, under load.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "all gateways replaced", calm: true, act: replaceAll},
				{name: "without the replacement", calm: true},
			}
		},
	}.build(o)
}

// replaceAll stops each gateway as planned and starts it again. It waits until the new one serves before the next.
func replaceAll(ctx context.Context, r *run) error {
	r.at(0.1)
	for _, host := range r.deployment.Config.Hosts {
		if err := r.stopGateway(ctx, host.Name); err != nil {
			return err
		}
		if err := r.deployment.StartGateway(host.Name); err != nil {
			return err
		}
		ready, cancel := context.WithTimeout(ctx, readyTimeout)
		err := r.deployment.WaitReady(ready)
		cancel()
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
	}
	return nil
}
