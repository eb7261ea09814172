package bench

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

const (
	// sketchSize is the number of counters of the sketch of each home.
	sketchSize     = 256
	sketchHalfLife = 500 * time.Millisecond
	// heavyKeyShare is the share of a home's requests at which it reports a key as heavy.
	heavyKeyShare = 0.02
)

// plankRouter runs assign.Policy with a sketch for each home and one load tracker for the holder of the cell, as the
// gateways do.
type plankRouter struct {
	label          string
	preference     config.Preference
	policy         assign.Policy
	workload       *workload
	partitionCount int
	tracker        *assign.Tracker
	sketches       []*assign.Sketch
	// requestCounts holds the requests of each server since the last round, without those for keys with an override.
	requestCounts   []float64
	partitions      []assign.PartitionLoad
	overrides       []assign.Override
	unbalancedSince time.Duration
	// owners holds the owner of each partition, and hotKeyOwners the owner of each key with an override.
	owners       []int32
	hotKeyOwners map[int32]int32
	hasOverride  []bool
	keyIndexes   map[string]int32
	// keysPerPartition holds the number of keys of each partition.
	keysPerPartition []int
	lastRound        time.Duration
	// maxOversizedKeys is the greatest number of keys that a round reported as hotter than a server.
	maxOversizedKeys int
}

func newPlankRouter(label string, preference config.Preference, workload *workload, partitionCount int) *plankRouter {
	p := &plankRouter{
		label:            label,
		preference:       preference,
		workload:         workload,
		partitionCount:   partitionCount,
		tracker:          assign.NewTracker(partitionCount, assign.DefaultSmoothing()),
		partitions:       make([]assign.PartitionLoad, partitionCount),
		owners:           make([]int32, partitionCount),
		hotKeyOwners:     make(map[int32]int32),
		hasOverride:      make([]bool, len(workload.names)),
		keyIndexes:       make(map[string]int32),
		keysPerPartition: make([]int, partitionCount),
		lastRound:        -time.Second,
	}
	for id := range p.partitions {
		p.partitions[id].ID = keyspace.Partition(id)
	}
	for key, name := range workload.names {
		p.keyIndexes[name] = int32(key)
		p.keysPerPartition[workload.partitions[key]]++
	}
	return p
}

func (p *plankRouter) name() string {
	return p.label
}

func (p *plankRouter) ownerOf(key int32) int32 {
	if p.hasOverride[key] {
		return p.hotKeyOwners[key]
	}
	return p.owners[p.workload.partitions[key]]
}

func (p *plankRouter) recordRequest(key int32) {
	name := p.workload.names[key]
	if p.hasOverride[key] {
		p.tracker.AddKey(name, 1)
		return
	}
	partition := p.workload.partitions[key]
	p.tracker.AddPartition(partition, 1)
	owner := p.owners[partition]
	p.sketches[owner].Observe(name, 1)
	p.requestCounts[owner]++
}

func (p *plankRouter) assignOwners(now time.Duration, servers []assign.Server) moveCounts {
	p.reportLoads(now, servers)
	for id := range p.partitions {
		p.partitions[id].Load = p.tracker.Load(keyspace.Partition(id))
	}
	result := p.policy.Next(&assign.Input{
		Now:             now,
		Preference:      p.preference,
		Servers:         servers,
		PartitionCount:  p.partitionCount,
		Partitions:      p.partitions,
		Overrides:       p.overrides,
		HotKeys:         p.tracker.HotKeys(),
		LoadError:       p.tracker.LoadError(),
		UnbalancedSince: p.unbalancedSince,
	})
	p.unbalancedSince = result.UnbalancedSince
	p.maxOversizedKeys = max(p.maxOversizedKeys, len(result.OversizedKeys))
	p.tracker.ApplyOverrides(result.Overrides)
	p.applyResult(result, servers)
	return p.countMoves(result, servers)
}

// reportLoads passes the heavy keys of the homes to the tracker of the holder and resets the request counts.
func (p *plankRouter) reportLoads(now time.Duration, servers []assign.Server) {
	interval := now - p.lastRound
	var heavyKeys []assign.KeyLoad
	for server, sketch := range p.sketches {
		sketch.Decay(now)
		heavyKeys = append(heavyKeys, sketch.Top(heavyKeyShare*p.requestCounts[server]/interval.Seconds())...)
	}
	for len(p.sketches) < len(servers) {
		p.sketches = append(p.sketches, assign.NewSketch(sketchSize, sketchHalfLife))
		p.requestCounts = append(p.requestCounts, 0)
	}
	clear(p.requestCounts)
	p.tracker.SetHeavyKeys(heavyKeys)
	p.tracker.Advance(interval)
	p.lastRound = now
}

// applyResult sets the owners and overrides of a result.
func (p *plankRouter) applyResult(result *assign.Result, servers []assign.Server) {
	serverIndexes := make(map[string]int32, len(servers))
	for i := range servers {
		serverIndexes[servers[i].Name] = int32(i)
	}
	for id, owner := range result.Owners {
		p.partitions[id].Owner = owner
		p.owners[id] = serverIndexes[owner]
	}
	for key := range p.hotKeyOwners {
		p.hasOverride[key] = false
	}
	clear(p.hotKeyOwners)
	p.overrides = result.Overrides
	for i := range result.Overrides {
		key := p.keyIndexes[result.Overrides[i].Key]
		p.hotKeyOwners[key] = serverIndexes[result.Overrides[i].Owner]
		p.hasOverride[key] = true
	}
}

// countMoves counts the moves of a result, without first assignments.
func (p *plankRouter) countMoves(result *assign.Result, servers []assign.Server) moveCounts {
	down := make(map[string]bool)
	for i := range servers {
		down[servers[i].Name] = servers[i].State == assign.Down
	}
	var moved moveCounts
	for i := range result.Moves {
		move := &result.Moves[i]
		if move.Reason == assign.ReasonInitial {
			continue
		}
		keys := 1
		if move.Key == "" {
			keys = p.keysPerPartition[move.Partition]
		}
		moved.moves++
		moved.keys += keys
		if down[move.From] {
			moved.lostKeys += keys
		}
	}
	return moved
}
