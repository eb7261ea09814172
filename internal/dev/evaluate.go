package dev

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/node"
	"github.com/sapphireplank/sapphireplank/internal/standin"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// Observed is what an experiment did in a run.
type Observed struct {
	Start    time.Time
	Duration time.Duration
	// Leaves are the backend servers that were told to leave.
	Leaves []LeaveCheck
	// CalmFrom and CalmTo bound the time in which no request may fail. Default: no such time.
	CalmFrom, CalmTo time.Time
	// StopErr is the error of a planned stop.
	StopErr error
}

// Evaluate evaluates the records and executions of a run.
func (d *Deployment) Evaluate(o Observed) *Report {
	f := failures{Leaves: o.Leaves, StopErr: o.StopErr, Calm: interval{from: o.CalmFrom, to: o.CalmTo}}
	return newReport(d, f, o.Start, o.Duration)
}

// UnavailableOf returns the unavailable time of one service: per key if it is divided by key, otherwise as a whole.
// Only records that keep accepts count.
func (d *Deployment) UnavailableOf(service string, start, end time.Time, keep func(Record) bool) Unavailable {
	keyed := d.keyedServices()
	var kept []Record
	for _, record := range availabilityRecords(d.Ledger.All(), keyed) {
		if record.Service == service && keep(record) {
			kept = append(kept, record)
		}
	}
	return unavailableTime(kept, keyed, start, end)
}

// Owners returns the owning backend server of each partition of each service that is divided by key.
func (d *Deployment) Owners() map[string][]string { return d.ownership().owners }

// HolderOf returns the holder of a cell, as its members know it, or "".
func (d *Deployment) HolderOf(cellName string) string { return d.holderOf(cellName) }

// Nodes returns the running gateways.
func (d *Deployment) Nodes() []*node.Node { return d.all() }

// Backend returns a stand-in backend server.
func (d *Deployment) Backend(name string) *standin.Server { return d.servers.byName[name] }

// StoreLink returns the path of a host's gateway to the store.
func (d *Deployment) StoreLink(host string) *store.Link { return d.links[host] }

// IsHeavy reports whether the record belongs to the heavy subscriber.
func (r Record) IsHeavy() bool { return r.Subscriber == heavySubscriber }
