package dev

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/node"
	"github.com/sapphireplank/sapphireplank/internal/standin"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// Observed describes the time and the disruptions of a run, for Evaluate.
type Observed struct {
	Start    time.Time
	Duration time.Duration
	// Leaves are the backend servers that began to drain.
	Leaves []LeaveCheck
	// CalmFrom and CalmTo are the start and end of the interval in which no request may fail. Default: no such interval.
	CalmFrom, CalmTo time.Time
	// StopErr is the error of a planned stop, if it failed.
	StopErr error
}

// Evaluate evaluates a run that an experiment performed.
func (d *Deployment) Evaluate(o Observed) *Report {
	f := disruptions{Drains: o.Leaves, StopErr: o.StopErr, FaultFree: interval{from: o.CalmFrom, to: o.CalmTo}}
	return newReport(d, f, o.Start, o.Duration)
}

// UnavailableOf returns the unavailable time of one service: per key if it is divided by key, otherwise as a whole.
// Only records for which keep returns true count.
func (d *Deployment) UnavailableOf(service string, start, end time.Time, keep func(Record) bool) Unavailable {
	keyed := d.keyedServices()
	var kept []Record
	for _, record := range availabilityRecords(d.Ledger.All(), keyed) {
		if record.Service == service && keep(record) {
			kept = append(kept, record)
		}
	}
	return measureUnavailable(kept, keyed, start, end)
}

// Owners returns the owning backend server of each partition of each service that is divided by key.
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
