package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

func zoneCut(o *Options) bench.Experiment {
	return experiment{
		name:    "zone-cut",
		summary: "A network partition separates the gateways of one zone from the other zones and the store, and heals.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "zone cut", networkFaults: true, action: cutZone, evaluate: func(r *run) { addFiguresBySide(r); addFailureTimes(r) }},
				{name: "without the cut", networkFaults: true, expectNoFailures: true, evaluate: addFiguresBySide},
			}
		},
		notes: []string{"Requests for keys enter through a gateway of the zone that owns the key; others through any gateway."},
	}.build(o)
}

// faultEnd is the fraction of a run after which the network partition heals.
const faultEnd = 0.8

func cutZone(_ context.Context, r *run) error {
	r.waitUntil(faultStart)
	zone := r.isolatedZone()
	r.setIsolated(zone, true)
	cutAt := time.Since(r.start)
	r.waitUntil(faultEnd)
	r.setIsolated(zone, false)
	r.addNote("zone %s was isolated from %s to %s", zone, cutAt.Round(time.Millisecond), time.Since(r.start).Round(time.Millisecond))
	return nil
}

func (r *run) isolatedZone() string { return r.deployment.Config.Zones[0].Name }

// setIsolated disconnects a zone from the other zones and from the store, or reconnects it.
func (r *run) setIsolated(zone string, isolated bool) {
	if isolated {
		r.network.Isolate(zone)
	} else {
		r.network.Isolate("")
	}
	for _, host := range r.deployment.Config.Hosts {
		if host.Zone == zone {
			r.deployment.StoreLink(host.Name).SetDown(isolated)
		}
	}
}

// addFiguresBySide adds the unavailable time and the failed requests, separately for requests that enter inside and
// outside the isolated zone.
func addFiguresBySide(r *run) {
	zones := newZoneRouter(r.deployment.Config).zones
	for _, inside := range []bool{true, false} {
		side := "outside the zone"
		if inside {
			side = "inside the zone"
		}
		matches := func(record dev.Record) bool { return (zones[record.Gateway] == r.isolatedZone()) == inside }
		for _, s := range r.deployment.Config.Services {
			r.addUnavailableFigures(s.Name+" "+side, s.Keyed, r.deployment.MeasureUnavailability(s.Name, r.start, r.end(), matches))
		}
		failed := 0
		for _, record := range r.deployment.Records.All() {
			if matches(record) && record.Outcome != dev.OutcomeAnswered {
				failed++
			}
		}
		r.addFigure("requests without an answer "+side, "1", float64(failed))
	}
}

// addFailureTimes adds figures on when the requests without an answer began, relative to the start of the network
// partition.
func addFailureTimes(r *run) {
	cutStart := r.start.Add(time.Duration(faultStart * float64(r.options.Duration)))
	var last time.Duration
	late := 0
	for _, record := range r.deployment.Records.All() {
		if record.Outcome == dev.OutcomeAnswered {
			continue
		}
		offset := record.Start.Sub(cutStart)
		last = max(last, offset)
		if offset > detectionTime {
			late++
		}
	}
	r.addFigure("last request without an answer began after the cut", "ms", millis(last))
	r.addFigure("requests without an answer that began 500 ms after the cut or later", "1", float64(late))
}

// detectionTime is the time after which gateways can have detected the network partition: SuspectAfter of package cell,
// rounded up.
const detectionTime = 500 * time.Millisecond
