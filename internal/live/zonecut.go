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
		summary: "The gateways of one zone are cut from the other zones and from the store, and the cut heals.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "zone cut", faults: true, act: cutZone, evaluate: func(r *run) { bySide(r); failuresOf(r) }},
				{name: "without the cut", faults: true, calm: true, evaluate: bySide},
			}
		},
		notes: []string{"Requests for keys enter through a gateway of the zone that owns the key; others through any gateway."},
	}.build(o)
}

// cutUntil is the part of a run after which the cut heals.
const cutUntil = 0.8

func cutZone(_ context.Context, r *run) error {
	r.at(lossAt)
	zone := r.cutZoneName()
	r.setCut(zone, true)
	from := time.Since(r.start)
	r.at(cutUntil)
	r.setCut(zone, false)
	r.note("zone %s was cut from %s to %s", zone, from.Round(time.Millisecond), time.Since(r.start).Round(time.Millisecond))
	return nil
}

func (r *run) cutZoneName() string { return r.deployment.Config.Zones[0].Name }

// setCut cuts a zone from the other zones and from the store, or heals the cut.
func (r *run) setCut(zone string, cut bool) {
	if cut {
		r.network.Isolate(zone)
	} else {
		r.network.Isolate("")
	}
	for _, host := range r.deployment.Config.Hosts {
		if host.Zone == zone {
			r.deployment.StoreLink(host.Name).SetDown(cut)
		}
	}
}

// bySide separates what enters through the zone that is cut from the rest.
func bySide(r *run) {
	zones := newZoneRoutes(r.deployment.Config).zones
	for _, inside := range []bool{true, false} {
		side := "outside the zone"
		if inside {
			side = "inside the zone"
		}
		here := func(record dev.Record) bool { return (zones[record.Gateway] == r.cutZoneName()) == inside }
		for _, s := range r.deployment.Config.Services {
			r.unavailableFigures(s.Name+" "+side, s.Keyed, r.deployment.UnavailableOf(s.Name, r.start, r.end(), here))
		}
		failed := 0
		for _, record := range r.deployment.Ledger.All() {
			if here(record) && record.Result != dev.ResultAnswered {
				failed++
			}
		}
		r.figure("requests without an answer "+side, "1", float64(failed))
	}
}

// failuresOf says when the requests without an answer began, relative to the cut.
func failuresOf(r *run) {
	cut := r.start.Add(time.Duration(lossAt * float64(r.options.Duration)))
	var last time.Duration
	late := 0
	for _, record := range r.deployment.Ledger.All() {
		if record.Result == dev.ResultAnswered {
			continue
		}
		began := record.Start.Sub(cut)
		last = max(last, began)
		if began > lateFailure {
			late++
		}
	}
	r.figure("last request without an answer began after the cut", "ms", millis(last))
	r.figure("requests without an answer that began 500 ms after the cut or later", "1", float64(late))
}

// lateFailure is the time after a cut from which gateways can know of it: SuspectAfter of the cell, rounded up.
const lateFailure = 500 * time.Millisecond
