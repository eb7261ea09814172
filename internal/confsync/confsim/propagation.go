package confsim

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// ErrNotInForce is the error of a run in which a change did not come in force everywhere.
var ErrNotInForce = errors.New("a change is not in force on every gateway at the end of the run; extend the run or look for a fault")

const (
	// regions of the target size, with three availability zones each.
	targetRegions  = 4
	zonesPerRegion = 3
	hostsPerCell   = 12
	// warmUp is the time before the first change.
	warmUp = 10 * time.Second
	// settle is the time after the last change.
	settle = 20 * time.Second
)

// PropagationOptions describe an experiment: changes are accepted at a fixed interval on random gateways, and the
// time until each one is in force on all gateways is taken.
type PropagationOptions struct {
	Seed uint64
	// Cells is the number of cells, spread over 4 regions with 3 availability zones each.
	Cells   int
	Changes int
	// Interval is the time between two changes.
	Interval time.Duration
	// NoWatches cuts the gateways off from the store, except for the accepts themselves.
	NoWatches bool
}

// PropagationResult is the result of an experiment.
type PropagationResult struct {
	Hosts int
	// Times hold the time from the answer to the operator until in force everywhere, for each change, ascending.
	Times []time.Duration
	// Duration is the simulated time, and Traffic the sum over all gateways in it.
	Duration time.Duration
	Traffic  Traffic
	// Most is the traffic of the gateway with the most.
	Most Traffic
	// StoreCalls are the calls in Duration.
	StoreCalls store.CallCounts
}

// Quantile returns the time within which the part q of the changes was in force everywhere.
func (r *PropagationResult) Quantile(q float64) time.Duration {
	return r.Times[min(int(q*float64(len(r.Times))), len(r.Times)-1)]
}

// propagation is one experiment in progress.
type propagation struct {
	options PropagationOptions
	network *Network
	result  PropagationResult
	// last is the revision in force on each host.
	last []uint64
	// reached counts the hosts that have at least a revision in force, accepted is the time of its accept.
	reached  map[uint64]int
	accepted map[uint64]time.Duration
	everyAt  map[uint64]time.Duration
}

// Propagate runs the experiment.
func Propagate(options PropagationOptions) (PropagationResult, error) {
	memory := store.NewMemoryStore(store.SystemClock{})
	first := NewDocument(1, "first")
	if _, err := memory.CompareAndSwap(background, Key, 0, first.Bytes); err != nil {
		return PropagationResult{}, err
	}
	p := &propagation{
		options:  options,
		reached:  make(map[uint64]int),
		accepted: make(map[uint64]time.Duration),
		everyAt:  make(map[uint64]time.Duration),
	}
	zones := targetRegions * zonesPerRegion
	p.network = New(Options{
		Seed: options.Seed, Regions: targetRegions, ZonesPerRegion: zonesPerRegion,
		CellsPerZone: (options.Cells + zones - 1) / zones, HostsPerCell: hostsPerCell, MaxCells: options.Cells,
		Tick: 100 * time.Millisecond, Store: memory, OnShow: p.onShow, Started: true, NoWatches: options.NoWatches,
	})
	p.last = make([]uint64, len(p.network.Hosts))
	p.network.Run(warmUp)
	before := memory.Calls()
	p.run()
	p.finish(before, memory.Calls())
	if len(p.result.Times) != options.Changes {
		return p.result, errors.Wrapf(ErrNotInForce, "%d of %d changes", len(p.result.Times), options.Changes)
	}
	return p.result, nil
}

func (p *propagation) run() {
	for _, host := range p.network.Hosts {
		host.Traffic = Traffic{}
	}
	start := p.network.Now()
	for range p.options.Changes {
		p.accept()
		p.network.Run(p.options.Interval)
	}
	p.result.Duration = p.network.Now() - start
	for _, host := range p.network.Hosts {
		p.result.Traffic.Sum(host.Traffic)
		if host.Traffic.Total() > p.result.Most.Total() {
			p.result.Most = host.Traffic
		}
	}
	p.network.Run(settle)
}

// accept lets an operator accept on a random gateway, and again on another one if the gateway was behind.
func (p *propagation) accept() {
	host := p.network.Hosts[p.network.Random().IntN(len(p.network.Hosts))]
	p.network.Accept(host, func(document confsync.Document, outcome confsync.AcceptOutcome) {
		if outcome != confsync.AcceptDone {
			p.network.After(HeartbeatInterval, p.accept)
			return
		}
		p.accepted[document.Revision] = p.network.Now()
	})
}

func (p *propagation) onShow(host *Host) {
	if p.last == nil {
		return
	}
	revision := host.InForce().Revision
	for r := max(p.last[host.index], 1) + 1; r <= revision; r++ {
		p.reached[r]++
		if p.reached[r] == len(p.network.Hosts) {
			p.everyAt[r] = p.network.Now()
		}
	}
	p.last[host.index] = revision
}

func (p *propagation) finish(before, after store.CallCounts) {
	for revision, at := range p.accepted {
		if every, ok := p.everyAt[revision]; ok {
			p.result.Times = append(p.result.Times, every-at)
		}
	}
	slices.Sort(p.result.Times)
	p.result.Hosts = len(p.network.Hosts)
	p.result.StoreCalls = store.CallCounts{
		Get:            after.Get - before.Get,
		CompareAndSwap: after.CompareAndSwap - before.CompareAndSwap,
	}
}
