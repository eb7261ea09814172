package controlcost

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/confsync/confsim"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

const (
	// configRegions and configZones are the regions and the zones per region of the target deployment.
	configRegions = 4
	configZones   = 3
	// configHosts is the number of gateways per cell.
	configHosts = 12
	// configChanges is the number of revisions accepted in each run.
	configChanges = 1000
	// changeInterval is the time between two accepts. 49,000 changes a day are one every 1.8 s, so this is 7 times that
	// rate.
	changeInterval = 250 * time.Millisecond
	// tickInterval is the interval between two ticks of the state machines.
	tickInterval = 50 * time.Millisecond
	// settleTime is the time after the last accept in which its revision can come into force.
	settleTime = 10 * time.Second
	// propagationLimit is the time within which an accepted revision must be in force on all gateways.
	propagationLimit = 7 * time.Second
	// configWarmUp is the time before the first accept, in which the gateways begin to exchange revisions.
	configWarmUp = 5 * time.Second
)

var configCells = []int{10, 100, 917}

// maxCellsWithFaults is the size up to which fleets also run with faults: a run with 917 cells takes two minutes and
// 5 GB.
const maxCellsWithFaults = 100

func configFleetExperiment() bench.Experiment {
	return bench.Experiment{
		Name:      "config-fleet",
		Summary:   "Time until accepted configurations are in force on every gateway of 10, 100 and 917 cells, in simulated time.",
		Baselines: []string{"watches 2 s late, 1% of messages lost"},
		Run:       runConfigFleet,
	}
}

func runConfigFleet(seed uint64) (*bench.Report, error) {
	report := &bench.Report{
		Settings: []bench.Setting{
			{Name: "changes", Value: fmt.Sprintf("%d for each size, one every %s", configChanges, changeInterval)},
			{Name: "load average at the start", Value: bench.LoadAverage()},
			{Name: "gateways per cell", Value: fmt.Sprint(configHosts)},
		},
		Notes: []string{
			"Bytes are those of exchanges, pulls and documents, sent and received. Heartbeats carry the revision and are counted in the experiment control. Documents of the simulation have about 250 bytes.",
			"Accepts go through one random gateway; the time counts from the answer of the store.",
		},
	}
	for _, faulty := range []bool{false, true} {
		m := &bench.Measurement{System: "no faults"}
		if faulty {
			m.System = "watches 2 s late, 1% of messages lost"
		}
		report.Measurements = append(report.Measurements, m)
		for _, cells := range configCells {
			if faulty && cells > maxCellsWithFaults {
				continue
			}
			if err := measurePropagation(m, seed, cells, faulty); err != nil {
				return nil, err
			}
		}
	}
	return report, nil
}

// propagationRun measures how long revisions take to reach all gateways of a simulated fleet.
type propagationRun struct {
	network *confsim.Network
	// accepted holds the time at which the store confirmed each revision.
	accepted map[uint64]time.Duration
	// pending holds, for each accepted revision, the number of gateways that have not put it in force yet.
	pending map[uint64]int
	inForce map[*confsim.Host]uint64
	// delays holds the time from the accept of each revision until the last gateway had it in force.
	delays []time.Duration
}

func measurePropagation(m *bench.Measurement, seed uint64, cells int, faulty bool) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	memory := store.NewMemoryStore(store.SystemClock{})
	first := confsim.NewDocument(1, "first")
	if _, err := memory.CompareAndSwap(background, confsim.Key, 0, first.Bytes); err != nil {
		return err
	}
	r := &propagationRun{accepted: make(map[uint64]time.Duration), pending: make(map[uint64]int), inForce: make(map[*confsim.Host]uint64)}
	options := confsim.Options{
		Seed: seed, Regions: configRegions, ZonesPerRegion: configZones, CellsPerZone: (cells + 11) / 12, HostsPerCell: configHosts,
		MaxCells: cells, Tick: tickInterval, Store: memory, OnInForce: r.onInForce, SkipStart: true,
	}
	if faulty {
		options.MessageLoss, options.WatchLag = 0.01, 2*time.Second
	}
	r.network = confsim.New(options)
	r.network.Run(configWarmUp)
	before, startedAt, cpu := r.traffic(), r.network.Now(), threadCPUTime()
	// All accepts go through one gateway, so that each is based on the one before and none conflicts.
	host := r.network.Hosts[r.network.Random().IntN(len(r.network.Hosts))]
	for range configChanges {
		r.network.Accept(host, r.onAccepted)
		r.network.Run(changeInterval)
	}
	r.network.Run(settleTime)
	seconds := (r.network.Now() - startedAt).Seconds()
	r.addFigures(m, fmt.Sprintf("%d cells", cells), before, seconds, threadCPUTime()-cpu)
	return nil
}

// onAccepted records the time of an accept and the number of gateways that still need the revision.
func (r *propagationRun) onAccepted(document confsync.Document, outcome confsync.AcceptOutcome) {
	if outcome != confsync.AcceptDone {
		return
	}
	now := r.network.Now()
	r.accepted[document.Revision] = now
	remaining := 0
	for _, host := range r.network.Hosts {
		if r.inForce[host] < document.Revision {
			remaining++
		}
	}
	r.pending[document.Revision] = remaining
	r.recordIfComplete(document.Revision)
}

// onInForce is called when a gateway puts a revision in force.
func (r *propagationRun) onInForce(host *confsim.Host) {
	revision := host.InForce().Revision
	earlier := r.inForce[host]
	r.inForce[host] = revision
	r.countInForce(earlier, revision)
}

// countInForce counts one more gateway for each revision after earlier, up to and including revision. A gateway that
// skips a revision counts as having it in force.
func (r *propagationRun) countInForce(earlier, revision uint64) {
	for next := earlier + 1; next <= revision; next++ {
		if _, ok := r.pending[next]; ok {
			r.pending[next]--
			r.recordIfComplete(next)
		}
	}
}

// recordIfComplete records the delay of a revision once all gateways have it in force.
func (r *propagationRun) recordIfComplete(revision uint64) {
	if r.pending[revision] == 0 {
		delete(r.pending, revision)
		r.delays = append(r.delays, r.network.Now()-r.accepted[revision])
	}
}

// gatewayTraffic holds the bytes that each gateway sent and received, in the order of the hosts.
type gatewayTraffic struct {
	bytes []uint64
}

func (r *propagationRun) traffic() gatewayTraffic {
	var t gatewayTraffic
	for _, host := range r.network.Hosts {
		t.bytes = append(t.bytes, host.Traffic.ExchangeBytes+host.Traffic.ContentBytes)
	}
	return t
}

func (r *propagationRun) addFigures(m *bench.Measurement, name string, before gatewayTraffic, seconds float64, cpu time.Duration) {
	add := func(what, unit string, value float64) {
		m.Figures = append(m.Figures, bench.Figure{Name: name + ": " + what, Unit: unit, Value: value})
	}
	slices.Sort(r.delays)
	add("changes accepted", "1", float64(len(r.accepted)))
	add("changes not in force everywhere at the end", "1", float64(len(r.pending)))
	for _, q := range []float64{0.5, 0.99, 0.999, 1} {
		add(fmt.Sprintf("in force everywhere, p%g", 100*q), "ms", float64(quantileOf(r.delays, q).Milliseconds()))
	}
	late := len(r.pending)
	for _, delay := range r.delays {
		if delay > propagationLimit {
			late++
		}
	}
	add("changes beyond 7 s", "1", float64(late))
	total, most := uint64(0), uint64(0)
	for i, bytes := range r.traffic().bytes {
		total += bytes - before.bytes[i]
		most = max(most, bytes-before.bytes[i])
	}
	gateways := float64(len(r.network.Hosts))
	add("bytes per gateway, mean", "B/s", float64(total)/gateways/seconds)
	add("bytes per gateway, most", "B/s", float64(most)/seconds)
	add("processor time per gateway, with the simulation", "% of a core", 100*cpu.Seconds()/gateways/seconds)
}

// quantileOf returns a quantile of a sorted list, with q between 0 and 1, or 0 for an empty list.
func quantileOf(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
