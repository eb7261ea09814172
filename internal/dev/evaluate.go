package dev

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/node"
	"github.com/sapphireplank/sapphireplank/internal/standin"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// RunDetails describes the time and the disruptions of a run, for Evaluate.
type RunDetails struct {
	Start    time.Time
	Duration time.Duration
	// Drains are the backend servers that began to drain.
	Drains []Drain
	// FaultFreeFrom and FaultFreeTo are the start and end of the interval in which no request may fail. Default: no such
	// interval.
	FaultFreeFrom, FaultFreeTo time.Time
	// StopErr is the error of a planned stop, if it failed.
	StopErr error
}

// Evaluate evaluates a run that an experiment performed.
func (d *Deployment) Evaluate(o RunDetails) *Report {
	f := disruptions{Drains: o.Drains, StopErr: o.StopErr, FaultFree: interval{from: o.FaultFreeFrom, to: o.FaultFreeTo}}
	return newReport(d, f, o.Start, o.Duration)
}

// MeasureUnavailability returns the unavailable time of one service: per key if it is sharded, otherwise as a whole.
// Only records for which keep returns true count.
func (d *Deployment) MeasureUnavailability(service string, start, end time.Time, keep func(Record) bool) Unavailability {
	keyed := d.keyedServices()
	var kept []Record
	for _, record := range availabilityRecords(d.Records.All(), keyed) {
		if record.Service == service && keep(record) {
			kept = append(kept, record)
		}
	}
	return measureUnavailable(kept, keyed, start, end)
}

// Owners returns the owning backend server of each partition of each sharded service.
func (d *Deployment) Owners() map[string][]string { return d.currentOwnership().owners }

// HolderOf returns the host whose gateway considers itself the holder of a cell, or "" if there is none.
func (d *Deployment) HolderOf(cellName string) string { return d.cellHolder(cellName) }

// Nodes returns the running gateways.
func (d *Deployment) Nodes() []*node.Node { return d.runningNodes() }

// Backend returns the simulated backend server with the given name.
func (d *Deployment) Backend(name string) *standin.Server { return d.servers.byName[name] }

// StoreLink returns the connection of a host's gateway to the store.
func (d *Deployment) StoreLink(host string) *store.Link { return d.storeLinks[host] }

// IsHeavy reports whether the record belongs to the heavy subscriber.
func (r Record) IsHeavy() bool { return r.Subscriber == heavySubscriber }
