package assign

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Smoothing holds the times after which a reading counts half.
type Smoothing struct {
	// Partitions is the half-life of the loads of partitions, which are small and noisy.
	Partitions time.Duration
	// Keys is the half-life of the loads of keys with an override, which are large and change within seconds.
	Keys time.Duration
}

// DefaultSmoothing returns the half-lives of the system.
func DefaultSmoothing() Smoothing {
	return Smoothing{Partitions: 5 * time.Second, Keys: 500 * time.Millisecond}
}

// Tracker smooths the work that homes report into the loads of an Input. It moves the load of a key between its
// partition and its override when the override starts or ends. A Tracker is not safe for concurrent use.
type Tracker struct {
	smoothing Smoothing
	// partitions are the partitions of the cell.
	partitions []keyspace.Partition
	// pending is the work of each partition since the last Advance.
	pending []float64
	// rates are the averages of the partitions, all of them with the same weight.
	rates  []float64
	weight EWMA
	// mean is the mean of rates at the last Advance.
	mean   float64
	shrink shrinkage
	keys   map[string]*trackedKey
	heavy  []KeyLoad
}

// trackedKey is a key with an override.
type trackedKey struct {
	pending float64
	average EWMA
}

// NewTracker returns a tracker for a service with count partitions, all of them in the cell.
func NewTracker(count int, smoothing Smoothing) *Tracker {
	t := &Tracker{
		smoothing: smoothing,
		pending:   make([]float64, count),
		rates:     make([]float64, count),
		keys:      make(map[string]*trackedKey),
	}
	for id := range count {
		t.partitions = append(t.partitions, keyspace.Partition(id))
	}
	return t
}

// SetPartitions names the partitions of the cell. Loads of others are forgotten, because they would pass for
// differences between the partitions of the cell.
func (t *Tracker) SetPartitions(partitions []keyspace.Partition) {
	rates := make([]float64, len(t.rates))
	for _, id := range partitions {
		rates[id] = t.rates[id]
	}
	t.rates = rates
	t.partitions = slices.Clone(partitions)
}

// AddPartition adds work of the keys of a partition that have no override.
func (t *Tracker) AddPartition(id keyspace.Partition, work float64) {
	t.pending[id] += work
}

// AddKey adds work of a key with an override. Work of another key is ignored.
func (t *Tracker) AddKey(key string, work float64) {
	if tracked, ok := t.keys[key]; ok {
		tracked.pending += work
	}
}

// SetHeavyKeys replaces the heavy keys without an override that the homes found by their sketches.
func (t *Tracker) SetHeavyKeys(keys []KeyLoad) {
	t.heavy = keys
}

// Advance takes the work since the last call into the averages.
func (t *Tracker) Advance(interval time.Duration) {
	if interval <= 0 || len(t.partitions) == 0 {
		return
	}
	t.advancePartitions(interval)
	for _, tracked := range t.keys {
		tracked.average.Add(tracked.pending, interval, t.smoothing.Keys)
		tracked.pending = 0
	}
}

// Load returns the load of a partition in work per second. Differences that are probably noise are left out.
func (t *Tracker) Load(id keyspace.Partition) float64 {
	if t.weight.weight == 0 {
		return 0
	}
	return (t.mean + t.shrink.signal*(t.rates[id]-t.mean)) / t.weight.weight
}

// LoadError returns the standard error of the load of a partition.
func (t *Tracker) LoadError() float64 {
	if t.weight.weight == 0 {
		return 0
	}
	return t.shrink.standardError() / t.weight.weight
}

// HotKeys returns the loads of the keys with an override and of the heavy keys, in the order of their names.
func (t *Tracker) HotKeys() []KeyLoad {
	hot := make([]KeyLoad, 0, len(t.keys)+len(t.heavy))
	for key, tracked := range t.keys {
		hot = append(hot, KeyLoad{Key: key, Load: tracked.average.Rate()})
	}
	for _, key := range t.heavy {
		if _, ok := t.keys[key.Key]; !ok {
			hot = append(hot, key)
		}
	}
	slices.SortFunc(hot, func(a, b KeyLoad) int { return cmp.Compare(a.Key, b.Key) })
	return hot
}

// ApplyOverrides follows the overrides of a result.
func (t *Tracker) ApplyOverrides(overrides []Override) {
	inForce := make(map[string]bool, len(overrides))
	for i := range overrides {
		inForce[overrides[i].Key] = true
		t.start(overrides[i].Key)
	}
	// Sums of floating point numbers depend on their order.
	for _, key := range slices.Sorted(maps.Keys(t.keys)) {
		if !inForce[key] {
			t.rates[t.partition(key)] += t.keys[key].average.Rate() * t.weight.weight
			delete(t.keys, key)
		}
	}
}

// start begins to track a key whose override is new.
func (t *Tracker) start(key string) {
	if _, ok := t.keys[key]; ok {
		return
	}
	load := 0.0
	for _, heavy := range t.heavy {
		if heavy.Key == key {
			load = heavy.Load
		}
	}
	t.keys[key] = &trackedKey{average: EWMA{rate: load, weight: 1}}
	rate := &t.rates[t.partition(key)]
	*rate = max(0, *rate-load*t.weight.weight)
}

func (t *Tracker) partition(key string) keyspace.Partition {
	return keyspace.PartitionOf(key, len(t.rates))
}
