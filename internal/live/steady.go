package live

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// steady compares a load with half of it: without faults nothing but latency may differ.
func steady(o *Options) bench.Experiment {
	return experiment{
		name:    "steady",
		summary: "Steady load without faults on real gateways.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "steady", calm: true},
				{name: "half the load", calm: true, load: func(o *Options, l *dev.Load) { l.Scale = o.Scale / 2 }},
			}
		},
	}.build(o)
}

const (
	// heavyFactor is what the heavy subscriber offers, relative to the capacity of the service.
	heavyFactor = 10
	// heavyServiceTime is the mean execution time at scale 1. Longer executions lower the capacity of the service
	// instead of the load, so that a small load fills it.
	heavyServiceTime = 3 * time.Millisecond
	// heavyProbedKeys keeps the load of the probes small beside the capacity.
	heavyProbedKeys = 4
)

// heavy lets one subscriber offer many times the capacity of the service that is divided by key.
func heavy(o *Options) bench.Experiment {
	column := func(name string, factor float64) *scenario {
		return &scenario{
			name:        name,
			serviceTime: func(o *Options) time.Duration { return time.Duration(float64(heavyServiceTime) / o.Scale) },
			load: func(_ *Options, l *dev.Load) {
				l.Scale, l.Heavy, l.ProbedKeys = 1, factor, heavyProbedKeys
			},
			evaluate: heavyShare,
		}
	}
	return experiment{
		name:    "heavy",
		summary: "One subscriber offers 10 times the capacity of one service.",
		scenarios: func() []*scenario {
			return []*scenario{column("with the heavy subscriber", heavyFactor), column("without it", 0)}
		},
		notes: []string{"Servers have a mean execution time of 3 ms over the scale, so that the capacity is small and the offered load is not scaled. The heavy subscriber has at most 400 requests in progress."},
	}.build(o)
}

// heavyShare measures the slot time that the heavy subscriber gets of what the others leave.
func heavyShare(r *run) {
	service := r.keyedService()
	heavy := make(map[string]bool)
	for _, record := range r.deployment.Ledger.All() {
		if record.IsHeavy() {
			heavy[record.Identity] = true
		}
	}
	var used, left time.Duration
	left = time.Duration(float64(r.duration) * float64(len(service.Servers)*service.Slots))
	for _, e := range r.deployment.Executions.All() {
		switch {
		case e.Service != service.Name:
		case heavy[e.Identity]:
			used += e.End.Sub(e.Start)
		default:
			left -= e.End.Sub(e.Start)
		}
	}
	r.figure("slot time of the heavy subscriber, of what others leave", "%", 100*float64(used)/float64(left))
	h := newHistogram()
	for _, record := range r.deployment.Ledger.All() {
		if record.Service == service.Name && !record.IsHeavy() && record.Result == dev.ResultAnswered {
			add(h, record.Took)
		}
	}
	r.quantiles("latency of others, "+service.Name, h)
}
