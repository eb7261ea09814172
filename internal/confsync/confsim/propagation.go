package confsim

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// ErrNotInForce is returned if a change was not put in force on every gateway.
var ErrNotInForce = errors.New("not every change is in force on every gateway at the end of the run; extend the run or look for a fault")

const (
	// The target size has four regions with three availability zones each.
	targetRegions  = 4
	zonesPerRegion = 3
	hostsPerCell   = 12
	// warmUpTime is the simulated time before the first change.
	warmUpTime = 10 * time.Second
	// settleTime is the simulated time after the last change.
	settleTime = 20 * time.Second
)

// PropagationOptions describes an experiment: changes are accepted at a fixed interval on random gateways, and the time
// until each change is in force on all gateways is measured.
type PropagationOptions struct {
	Seed uint64
	// Cells is the number of cells, distributed over 4 regions with 3 availability zones each.
	Cells   int
	Changes int
	// Interval is the time between two changes.
	Interval time.Duration
	// StoreUnreachable makes the store unavailable to gateways, except for accept operations.
	StoreUnreachable bool
}

// PropagationResult is the result of an experiment.
type PropagationResult struct {
	Hosts int
	// Times contains, for each change, the time from the response to the operator until the change is in force on all
	// gateways, in ascending order.
	Times []time.Duration
	// Duration is the simulated time of the measurement, and Traffic the traffic of all gateways in that time.
	Duration time.Duration
	Traffic  Traffic
	// Busiest is the traffic of the gateway with the most traffic.
	Busiest Traffic
	// StoreCalls counts the calls to the store during Duration and the settle time after it.
	StoreCalls store.CallCounts
}

// Quantile returns the time within which the fraction q of the changes was in force on all gateways.
func (r *PropagationResult) Quantile(q float64) time.Duration {
	return r.Times[min(int(q*float64(len(r.Times))), len(r.Times)-1)]
}

// propagation is an experiment in progress.
type propagation struct {
	options PropagationOptions
	network *Network
	result  PropagationResult
	// inForce is the revision in force on each host.
	inForce []uint64
	// hostsInForce is the number of hosts that have at least the given revision in force, acceptedAt is the time at
	// which it was accepted, and completedAt is the time at which it was in force on all hosts.
	hostsInForce map[uint64]int
	acceptedAt   map[uint64]time.Duration
	completedAt  map[uint64]time.Duration
}

// MeasurePropagation runs the experiment.
func MeasurePropagation(options PropagationOptions) (PropagationResult, error) {
	memory := store.NewMemoryStore(store.SystemClock{})
	first := NewDocument(1, "first")
	if _, err := memory.CompareAndSwap(background, Key, 0, first.Bytes); err != nil {
		return PropagationResult{}, err
	}
	p := &propagation{
		options:      options,
		hostsInForce: make(map[uint64]int),
		acceptedAt:   make(map[uint64]time.Duration),
		completedAt:  make(map[uint64]time.Duration),
	}
	zones := targetRegions * zonesPerRegion
	p.network = New(Options{
		Seed: options.Seed, Regions: targetRegions, ZonesPerRegion: zonesPerRegion,
		CellsPerZone: (options.Cells + zones - 1) / zones, HostsPerCell: hostsPerCell, MaxCells: options.Cells,
		Tick: 100 * time.Millisecond, Store: memory, OnInForce: p.onInForce, SkipStart: true, StoreUnreachable: options.StoreUnreachable,
	})
	p.inForce = make([]uint64, len(p.network.Hosts))
	p.network.Run(warmUpTime)
	before := memory.Calls()
	p.runChanges()
	p.collectResult(before, memory.Calls())
	if len(p.result.Times) != options.Changes {
		return p.result, errors.Wrapf(ErrNotInForce, "%d of %d changes", len(p.result.Times), options.Changes)
	}
	return p.result, nil
}

func (p *propagation) runChanges() {
	for _, host := range p.network.Hosts {
		host.Traffic = Traffic{}
	}
	start := p.network.Now()
	for range p.options.Changes {
		p.acceptChange()
		p.network.Run(p.options.Interval)
	}
	p.result.Duration = p.network.Now() - start
	for _, host := range p.network.Hosts {
		p.result.Traffic.Add(host.Traffic)
		if host.Traffic.Total() > p.result.Busiest.Total() {
			p.result.Busiest = host.Traffic
		}
	}
	p.network.Run(settleTime)
}

// acceptChange accepts a change on a random gateway. If that fails, as on a gateway with an outdated revision, it
// retries on another random gateway.
func (p *propagation) acceptChange() {
	host := p.network.Hosts[p.network.Random().IntN(len(p.network.Hosts))]
	p.network.Accept(host, func(document confsync.Document, outcome confsync.AcceptOutcome) {
		if outcome != confsync.AcceptDone {
			p.network.After(HeartbeatInterval, p.acceptChange)
			return
		}
		p.acceptedAt[document.Revision] = p.network.Now()
	})
}

func (p *propagation) onInForce(host *Host) {
	if p.inForce == nil {
		return
	}
	revision := host.InForce().Revision
	for r := max(p.inForce[host.index], 1) + 1; r <= revision; r++ {
		p.hostsInForce[r]++
		if p.hostsInForce[r] == len(p.network.Hosts) {
			p.completedAt[r] = p.network.Now()
		}
	}
	p.inForce[host.index] = revision
}

func (p *propagation) collectResult(before, after store.CallCounts) {
	for revision, acceptedAt := range p.acceptedAt {
		if completedAt, ok := p.completedAt[revision]; ok {
			p.result.Times = append(p.result.Times, completedAt-acceptedAt)
		}
	}
	slices.Sort(p.result.Times)
	p.result.Hosts = len(p.network.Hosts)
	p.result.StoreCalls = store.CallCounts{
		Get:            after.Get - before.Get,
		CompareAndSwap: after.CompareAndSwap - before.CompareAndSwap,
	}
}
