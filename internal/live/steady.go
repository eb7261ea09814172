package live

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// steady compares a load with half of it. Without faults, only the latency may differ.
func steady(o *Options) bench.Experiment {
	return experiment{
		name:    "steady",
		summary: "Steady load without faults on real gateways.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "steady", expectNoFailures: true},
				{name: "half the load", expectNoFailures: true, load: func(o *Options, l *dev.Load) { l.Scale = o.Scale / 2 }},
			}
		},
	}.build(o)
}

const (
	// heavyFactor is the load that the heavy subscriber offers, as a multiple of the capacity of the service.
	heavyFactor = 10
	// heavyRunTime is the mean run time at scale 1. It is divided by the scale, so that a small scale lowers the capacity
	// of the service instead of the load, and a small load saturates the service.
	heavyRunTime = 3 * time.Millisecond
	// heavyProbedKeys keeps the load of the probes small compared with the capacity.
	heavyProbedKeys = 4
)

// heavy measures how one subscriber that offers many times the capacity of the sharded service affects the other
// subscribers.
func heavy(o *Options) bench.Experiment {
	column := func(name string, factor float64) *scenario {
		return &scenario{
			name:    name,
			runTime: func(o *Options) time.Duration { return time.Duration(float64(heavyRunTime) / o.Scale) },
			load: func(_ *Options, l *dev.Load) {
				l.Scale, l.Heavy, l.ProbedKeys = 1, factor, heavyProbedKeys
			},
			evaluate: addHeavyShare,
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

// addHeavyShare adds the slot time that the heavy subscriber used, as a percentage of the slot time that the other
// subscribers left unused, and the latency of the others.
func addHeavyShare(r *run) {
	service := r.keyedService()
	heavy := make(map[string]bool)
	for _, record := range r.deployment.Records.All() {
		if record.IsHeavy() {
			heavy[record.Identity] = true
		}
	}
	var used, available time.Duration
	available = time.Duration(float64(r.duration) * float64(len(service.Servers)*service.Slots))
	for _, e := range r.deployment.Executions.All() {
		switch {
		case e.Service != service.Name:
		case heavy[e.Identity]:
			used += e.End.Sub(e.Start)
		default:
			available -= e.End.Sub(e.Start)
		}
	}
	r.addFigure("slot time of the heavy subscriber, of what others leave", "%", 100*float64(used)/float64(available))
	h := newHistogram()
	for _, record := range r.deployment.Records.All() {
		if record.Service == service.Name && !record.IsHeavy() && record.Outcome == dev.OutcomeAnswered {
			recordDuration(h, record.Latency)
		}
	}
	r.addQuantiles("latency of others, "+service.Name, h)
}
