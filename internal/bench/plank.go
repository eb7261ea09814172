package bench

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

const (
	// sketchSize is the number of counters of the sketch of each home.
	sketchSize = 256
	// sketchHalfLife is the half-life of the sketches.
	sketchHalfLife = 500 * time.Millisecond
	// heavyShare is the share of a home's requests from which it reports a key.
	heavyShare = 0.02
)

// plankRouter runs assign.Policy with a sketch for each home and a tracker at the holder, as the system does.
type plankRouter struct {
	label      string
	preference config.Preference
	policy     assign.Policy
	work       *workload
	count      int
	tracker    *assign.Tracker
	sketches   []*assign.Sketch
	// requests counts the requests of each server since the last round.
	requests        []float64
	partitions      []assign.PartitionLoad
	overrides       []assign.Override
	unbalancedSince time.Duration
	// owners and hot hold the owner of each partition and of each key with an override.
	owners  []int32
	hot     map[int32]int32
	isHot   []bool
	indexes map[string]int32
	// keys counts the keys of each partition.
	keys []int
	last time.Duration
	// tooHot is the greatest number of keys that a round named as hotter than a server.
	tooHot int
}

func newPlankRouter(label string, preference config.Preference, work *workload, count int) *plankRouter {
	p := &plankRouter{
		label:      label,
		preference: preference,
		work:       work,
		count:      count,
		tracker:    assign.NewTracker(count, assign.DefaultSmoothing()),
		partitions: make([]assign.PartitionLoad, count),
		owners:     make([]int32, count),
		hot:        make(map[int32]int32),
		isHot:      make([]bool, len(work.names)),
		indexes:    make(map[string]int32),
		keys:       make([]int, count),
		last:       -time.Second,
	}
	for id := range p.partitions {
		p.partitions[id].ID = keyspace.Partition(id)
	}
	for key, name := range work.names {
		p.indexes[name] = int32(key)
		p.keys[work.partitions[key]]++
	}
	return p
}

func (p *plankRouter) name() string {
	return p.label
}

func (p *plankRouter) ownerOf(key int32) int32 {
	if p.isHot[key] {
		return p.hot[key]
	}
	return p.owners[p.work.partitions[key]]
}

func (p *plankRouter) observe(key int32) {
	name := p.work.names[key]
	if p.isHot[key] {
		p.tracker.AddKey(name, 1)
		return
	}
	partition := p.work.partitions[key]
	p.tracker.AddPartition(partition, 1)
	owner := p.owners[partition]
	p.sketches[owner].Observe(name, 1)
	p.requests[owner]++
}

func (p *plankRouter) round(now time.Duration, servers []assign.Server) movement {
	p.report(now, servers)
	for id := range p.partitions {
		p.partitions[id].Load = p.tracker.Load(keyspace.Partition(id))
	}
	result := p.policy.Next(&assign.Input{
		Now:             now,
		Preference:      p.preference,
		Servers:         servers,
		PartitionCount:  p.count,
		Partitions:      p.partitions,
		Overrides:       p.overrides,
		HotKeys:         p.tracker.HotKeys(),
		LoadError:       p.tracker.LoadError(),
		UnbalancedSince: p.unbalancedSince,
	})
	p.unbalancedSince = result.UnbalancedSince
	p.tooHot = max(p.tooHot, len(result.OversizedKeys))
	p.tracker.ApplyOverrides(result.Overrides)
	p.apply(result, servers)
	return p.movement(result, servers)
}

// report brings the observations of the homes to the holder.
func (p *plankRouter) report(now time.Duration, servers []assign.Server) {
	interval := now - p.last
	var heavy []assign.KeyLoad
	for server, sketch := range p.sketches {
		sketch.Decay(now)
		heavy = append(heavy, sketch.Top(heavyShare*p.requests[server]/interval.Seconds())...)
	}
	for len(p.sketches) < len(servers) {
		p.sketches = append(p.sketches, assign.NewSketch(sketchSize, sketchHalfLife))
		p.requests = append(p.requests, 0)
	}
	clear(p.requests)
	p.tracker.SetHeavyKeys(heavy)
	p.tracker.Advance(interval)
	p.last = now
}

// apply takes over the owners of a result.
func (p *plankRouter) apply(result *assign.Result, servers []assign.Server) {
	index := make(map[string]int32, len(servers))
	for i := range servers {
		index[servers[i].Name] = int32(i)
	}
	for id, owner := range result.Owners {
		p.partitions[id].Owner = owner
		p.owners[id] = index[owner]
	}
	for key := range p.hot {
		p.isHot[key] = false
	}
	clear(p.hot)
	p.overrides = result.Overrides
	for i := range result.Overrides {
		key := p.indexes[result.Overrides[i].Key]
		p.hot[key] = index[result.Overrides[i].Owner]
		p.isHot[key] = true
	}
}

// movement counts the keys that a result moved.
func (p *plankRouter) movement(result *assign.Result, servers []assign.Server) movement {
	down := make(map[string]bool)
	for i := range servers {
		down[servers[i].Name] = servers[i].State == assign.Down
	}
	var moved movement
	for i := range result.Moves {
		move := &result.Moves[i]
		if move.Reason == assign.ReasonInitial {
			continue
		}
		keys := 1
		if move.Key == "" {
			keys = p.keys[move.Partition]
		}
		moved.moves++
		moved.keys += keys
		if down[move.From] {
			moved.lost += keys
		}
	}
	return moved
}
