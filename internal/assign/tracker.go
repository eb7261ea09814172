package assign

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Smoothing holds the half-lives of the load averages.
type Smoothing struct {
	// Partitions is the half-life of partition loads, which are small and noisy.
	Partitions time.Duration
	// Keys is the half-life of the loads of keys with an override, which are large and change within seconds.
	Keys time.Duration
}

// DefaultSmoothing returns the default half-lives.
func DefaultSmoothing() Smoothing {
	return Smoothing{Partitions: 5 * time.Second, Keys: 500 * time.Millisecond}
}

// Tracker computes the loads of an Input as moving averages of the work that homes report. When an override starts or
// ends, it transfers the load of the key between its partition and the override. A Tracker is not safe for concurrent
// use.
type Tracker struct {
	smoothing Smoothing
	// partitions are the partitions of the cell.
	partitions []keyspace.Partition
	// pending is the work of each partition since the last call of Advance.
	pending []float64
	// rates holds the unnormalized averages of the partitions. All have the same weight.
	rates []float64
	// weight provides the common weight of rates in its field weight; its own rate is not used.
	weight EWMA
	// mean is the mean of rates at the last call of Advance.
	mean           float64
	noise          shrinkage
	overriddenKeys map[string]*trackedKey
	heavyKeys      []KeyLoad
}

// trackedKey is a key with an override.
type trackedKey struct {
	pending float64
	average EWMA
}

// NewTracker returns a tracker for a service with count partitions, all of them in the cell.
func NewTracker(count int, smoothing Smoothing) *Tracker {
	t := &Tracker{
		smoothing:      smoothing,
		pending:        make([]float64, count),
		rates:          make([]float64, count),
		overriddenKeys: make(map[string]*trackedKey),
	}
	for id := range count {
		t.partitions = append(t.partitions, keyspace.Partition(id))
	}
	return t
}

// SetPartitions sets the partitions of the cell. It discards the loads of all others, which would otherwise count as
// variation between the partitions of the cell.
func (t *Tracker) SetPartitions(partitions []keyspace.Partition) {
	rates := make([]float64, len(t.rates))
	for _, id := range partitions {
		rates[id] = t.rates[id]
	}
	t.rates = rates
	t.partitions = slices.Clone(partitions)
}

// AddPartition adds work of keys without an override to a partition.
func (t *Tracker) AddPartition(id keyspace.Partition, work float64) {
	t.pending[id] += work
}

// AddKey adds work of a key with an override. It ignores keys without one.
func (t *Tracker) AddKey(key string, work float64) {
	if tracked, ok := t.overriddenKeys[key]; ok {
		tracked.pending += work
	}
}

// SetHeavyKeys replaces the heavy keys that the sketches of the homes report. Keys with an override are ignored.
func (t *Tracker) SetHeavyKeys(keys []KeyLoad) {
	t.heavyKeys = keys
}

// Advance adds the work since the last call, interval ago, to the averages.
func (t *Tracker) Advance(interval time.Duration) {
	if interval <= 0 || len(t.partitions) == 0 {
		return
	}
	t.advancePartitions(interval)
	for _, tracked := range t.overriddenKeys {
		tracked.average.Add(tracked.pending, interval, t.smoothing.Keys)
		tracked.pending = 0
	}
}

// Load returns the load of a partition in work per second, after shrinkage towards the mean to remove sampling noise.
func (t *Tracker) Load(id keyspace.Partition) float64 {
	if t.weight.weight == 0 {
		return 0
	}
	return (t.mean + t.noise.signalRatio*(t.rates[id]-t.mean)) / t.weight.weight
}

// LoadError returns the standard error of the load of a partition.
func (t *Tracker) LoadError() float64 {
	if t.weight.weight == 0 {
		return 0
	}
	return t.noise.standardError() / t.weight.weight
}

// HotKeys returns the loads of the keys with an override and of the other heavy keys, sorted by key.
func (t *Tracker) HotKeys() []KeyLoad {
	hot := make([]KeyLoad, 0, len(t.overriddenKeys)+len(t.heavyKeys))
	for key, tracked := range t.overriddenKeys {
		hot = append(hot, KeyLoad{Key: key, Load: tracked.average.Rate()})
	}
	for _, key := range t.heavyKeys {
		if _, ok := t.overriddenKeys[key.Key]; !ok {
			hot = append(hot, key)
		}
	}
	slices.SortFunc(hot, func(a, b KeyLoad) int { return cmp.Compare(a.Key, b.Key) })
	return hot
}

// ApplyOverrides starts to track the keys of new overrides and stops tracking those whose override ended.
func (t *Tracker) ApplyOverrides(overrides []Override) {
	inForce := make(map[string]bool, len(overrides))
	for i := range overrides {
		inForce[overrides[i].Key] = true
		t.startTracking(overrides[i].Key)
	}
	// Floating-point sums depend on their order, so iterate in a fixed one.
	for _, key := range slices.Sorted(maps.Keys(t.overriddenKeys)) {
		if !inForce[key] {
			t.rates[t.partitionOf(key)] += t.overriddenKeys[key].average.Rate() * t.weight.weight
			delete(t.overriddenKeys, key)
		}
	}
}

// startTracking starts to track a key with a new override and subtracts its load from its partition.
func (t *Tracker) startTracking(key string) {
	if _, ok := t.overriddenKeys[key]; ok {
		return
	}
	load := 0.0
	for _, heavy := range t.heavyKeys {
		if heavy.Key == key {
			load = heavy.Load
		}
	}
	t.overriddenKeys[key] = &trackedKey{average: EWMA{rate: load, weight: 1}}
	rate := &t.rates[t.partitionOf(key)]
	*rate = max(0, *rate-load*t.weight.weight)
}

func (t *Tracker) partitionOf(key string) keyspace.Partition {
	return keyspace.PartitionOf(key, len(t.rates))
}
