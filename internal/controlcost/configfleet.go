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
	// configRegions and configZones are those of the target size.
	configRegions = 4
	configZones   = 3
	// configHosts is the number of gateways of a cell.
	configHosts = 12
	// configChanges is the number of accepts of each run.
	configChanges = 1000
	// changeInterval separates two accepts. 49,000 changes a day are one in 1.8 s, so that this is 7 times the rate.
	changeInterval = 250 * time.Millisecond
	// configTick is the interval of the state machines.
	configTick = 50 * time.Millisecond
	// lastChangeTime is the time for the last change to take effect.
	lastChangeTime = 10 * time.Second
	// inForceBound is the time within which an accepted revision must be in force everywhere.
	inForceBound = 7 * time.Second
	// configWarm lets the relay start.
	configWarm = 5 * time.Second
)

var configCells = []int{10, 100, 917}

// maxFaultyCells bounds the fleets that run with faults too: 917 cells take two minutes and 5 GB per run.
const maxFaultyCells = 100

func configFleetExperiment() bench.Experiment {
	return bench.Experiment{
		Name:      "config-fleet",
		Summary:   "Time until accepted configurations are in force on every gateway of 10, 100 and 917 cells, on simulated time.",
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
			if faulty && cells > maxFaultyCells {
				continue
			}
			if err := measureConfig(m, seed, cells, faulty); err != nil {
				return nil, err
			}
		}
	}
	return report, nil
}

// configRun follows the revisions of one simulated fleet.
type configRun struct {
	network  *confsim.Network
	accepted map[uint64]time.Duration
	// pending holds the number of gateways that have not put a revision in force yet.
	pending map[uint64]int
	shown   map[*confsim.Host]uint64
	took    []time.Duration
}

func measureConfig(m *bench.Measurement, seed uint64, cells int, faulty bool) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	memory := store.NewMemoryStore(store.SystemClock{})
	first := confsim.NewDocument(1, "first")
	if _, err := memory.CompareAndSwap(background, confsim.Key, 0, first.Bytes); err != nil {
		return err
	}
	r := &configRun{accepted: make(map[uint64]time.Duration), pending: make(map[uint64]int), shown: make(map[*confsim.Host]uint64)}
	options := confsim.Options{
		Seed: seed, Regions: configRegions, ZonesPerRegion: configZones, CellsPerZone: (cells + 11) / 12, HostsPerCell: configHosts,
		MaxCells: cells, Tick: configTick, Store: memory, OnShow: r.show, Started: true,
	}
	if faulty {
		options.Lost, options.WatchLag = 0.01, 2*time.Second
	}
	r.network = confsim.New(options)
	r.network.Run(configWarm)
	before, began, cpu := r.traffic(), r.network.Now(), threadTime()
	// All accepts go through one gateway, so that each is based on the one before and none conflicts.
	host := r.network.Hosts[r.network.Random().IntN(len(r.network.Hosts))]
	for range configChanges {
		r.network.Accept(host, r.done)
		r.network.Run(changeInterval)
	}
	r.network.Run(lastChangeTime)
	seconds := (r.network.Now() - began).Seconds()
	r.figures(m, fmt.Sprintf("%d cells", cells), before, seconds, threadTime()-cpu)
	return nil
}

// done notes an accepted revision.
func (r *configRun) done(document confsync.Document, outcome confsync.AcceptOutcome) {
	if outcome != confsync.AcceptDone {
		return
	}
	now := r.network.Now()
	r.accepted[document.Revision] = now
	waiting := 0
	for _, host := range r.network.Hosts {
		if r.shown[host] < document.Revision {
			waiting++
		}
	}
	r.pending[document.Revision] = waiting
	r.complete(document.Revision)
}

// show is called when a gateway puts a revision in force.
func (r *configRun) show(host *confsim.Host) {
	revision := host.InForce().Revision
	earlier := r.shown[host]
	r.shown[host] = revision
	r.passed(earlier, revision)
}

// passed counts one gateway for each revision after earlier up to revision.
func (r *configRun) passed(earlier, revision uint64) {
	for passed := earlier + 1; passed <= revision; passed++ {
		if _, ok := r.pending[passed]; ok {
			r.pending[passed]--
			r.complete(passed)
		}
	}
}

func (r *configRun) complete(revision uint64) {
	if r.pending[revision] == 0 {
		delete(r.pending, revision)
		r.took = append(r.took, r.network.Now()-r.accepted[revision])
	}
}

// configTraffic is the traffic of all gateways together, and of the gateway with the most.
type configTraffic struct {
	bytes []uint64
}

func (r *configRun) traffic() configTraffic {
	var t configTraffic
	for _, host := range r.network.Hosts {
		t.bytes = append(t.bytes, host.Traffic.ExchangeBytes+host.Traffic.ContentBytes)
	}
	return t
}

func (r *configRun) figures(m *bench.Measurement, name string, before configTraffic, seconds float64, cpu time.Duration) {
	add := func(what, unit string, value float64) {
		m.Figures = append(m.Figures, bench.Figure{Name: name + ": " + what, Unit: unit, Value: value})
	}
	slices.Sort(r.took)
	add("changes accepted", "1", float64(len(r.accepted)))
	add("changes not in force everywhere at the end", "1", float64(len(r.pending)))
	for _, q := range []float64{0.5, 0.99, 0.999, 1} {
		add(fmt.Sprintf("in force everywhere, p%g", 100*q), "ms", float64(at(r.took, q).Milliseconds()))
	}
	late := len(r.pending)
	for _, took := range r.took {
		if took > inForceBound {
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

// at returns a quantile of a sorted list, or 0.
func at(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
