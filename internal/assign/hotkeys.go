package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// hotKeys holds the state of the overrides during one round.
type hotKeys struct {
	overrides []Override
	// loads holds the load of each override, in the order of overrides.
	loads []float64
	// partitions holds the index in Input.Partitions of the partition of each override.
	partitions []int
	// returned holds the overrides that end in this round.
	returned []keyEntry
}

// keyEntry is a key with an override or a candidate for one.
type keyEntry struct {
	override  Override
	load      float64
	partition int
	// previous is the index of the server that owned the key before the round.
	previous int32
	isNew    bool
}

// splitHotKeys selects the keys with an override, subtracts the load of new ones from their partitions and appends a
// unit for each.
func splitHotKeys(r *round, index map[string]int32) hotKeys {
	loads := sumKeyLoads(r.in.HotKeys)
	fairShare := r.fairShareByWeight(loads)
	kept, hot := r.retainOverrides(loads, fairShare*r.tuning.ReturnThreshold, index)
	candidates := r.overrideCandidates(loads, fairShare*r.tuning.SplitThreshold)
	kept = r.admitCandidates(kept, candidates, &hot)
	slices.SortFunc(kept, compareByLoad)
	for _, entry := range kept {
		r.appendOverride(&hot, entry)
	}
	return hot
}

// sumKeyLoads returns the sanitized load of each key. The loads of a key that several entries report are summed.
func sumKeyLoads(keys []KeyLoad) map[string]float64 {
	loads := make(map[string]float64, len(keys))
	for _, key := range keys {
		loads[key.Key] += sanitizeLoad(key.Load)
	}
	return loads
}

// fairShareByWeight returns the load of a server of weight 1 under an exactly proportional distribution.
func (r *round) fairShareByWeight(loads map[string]float64) float64 {
	total := 0.0
	for i := range r.units {
		total += r.units[i].load
	}
	for i := range r.in.Overrides {
		total += loads[r.in.Overrides[i].Key]
	}
	weight, _ := upWeights(r.in)
	if weight == 0 {
		return 0
	}
	return (total + partitionBaseLoad(r.in, total, weight)*float64(len(r.in.Partitions))) / weight
}

// retainOverrides returns the overrides that stay in force, and a hotKeys with those that end because their load has
// been below returnLoad for long enough.
func (r *round) retainOverrides(loads map[string]float64, returnLoad float64, index map[string]int32) ([]keyEntry, hotKeys) {
	var hot hotKeys
	kept := make([]keyEntry, 0, len(r.in.Overrides))
	for _, override := range r.in.Overrides {
		partition, ok := r.partitionIndex(uint32(keyspace.PartitionOf(override.Key, r.in.PartitionCount)))
		if !ok {
			continue
		}
		entry := keyEntry{override: override, load: loads[override.Key], partition: partition}
		entry.previous = indexOf(index, override.Owner)
		if r.updateReturnTimer(&entry.override, entry.load < returnLoad) {
			r.endOverride(&hot, entry)
			continue
		}
		kept = append(kept, entry)
	}
	return kept, hot
}

// updateReturnTimer records since when a key is below the return threshold and reports whether its override ends.
func (r *round) updateReturnTimer(override *Override, belowThreshold bool) bool {
	now := max(r.in.Now, 1)
	override.Since = min(override.Since, now)
	if !belowThreshold {
		override.BelowThresholdSince = 0
		return false
	}
	if override.BelowThresholdSince == 0 || override.BelowThresholdSince > now {
		override.BelowThresholdSince = now
	}
	return hasElapsed(now, override.BelowThresholdSince, r.tuning.ReturnDelay) && hasElapsed(now, override.Since, r.tuning.MinOverrideDuration)
}

func hasElapsed(now, since, wait time.Duration) bool {
	return now-since >= wait
}

// endOverride ends the override of a key and adds its load back to its partition.
func (r *round) endOverride(hot *hotKeys, entry keyEntry) {
	r.units[entry.partition].load += entry.load
	hot.returned = append(hot.returned, entry)
}

// overrideCandidates returns the keys without an override whose load is at least splitLoad, heaviest first.
func (r *round) overrideCandidates(loads map[string]float64, splitLoad float64) []keyEntry {
	if splitLoad <= 0 {
		return nil
	}
	existing := make(map[string]bool, len(r.in.Overrides))
	for i := range r.in.Overrides {
		existing[r.in.Overrides[i].Key] = true
	}
	var candidates []keyEntry
	for key, load := range loads {
		if load < splitLoad || existing[key] {
			continue
		}
		if partition, ok := r.partitionIndex(uint32(keyspace.PartitionOf(key, r.in.PartitionCount))); ok {
			override := Override{Key: key, Since: max(r.in.Now, 1)}
			candidates = append(candidates, keyEntry{override: override, load: load, partition: partition, isNew: true})
		}
	}
	slices.SortFunc(candidates, compareByLoad)
	return candidates
}

// compareByLoad orders keys by load, heaviest first, then by name.
func compareByLoad(a, b keyEntry) int {
	if c := cmp.Compare(b.load, a.load); c != 0 {
		return c
	}
	return cmp.Compare(a.override.Key, b.override.Key)
}

// admitCandidates adds candidates up to the override limit. Beyond the limit, a candidate replaces an override below
// the return threshold. The replaced key is too light to become a candidate in the next round, so the two cannot
// alternate.
func (r *round) admitCandidates(kept, candidates []keyEntry, hot *hotKeys) []keyEntry {
	limit := r.overrideLimit()
	slices.SortFunc(kept, compareByLoad)
	for len(kept) > limit {
		r.endOverride(hot, kept[len(kept)-1])
		kept = kept[:len(kept)-1]
	}
	replaceable := len(kept)
	for _, entry := range candidates {
		if len(kept) < limit {
			kept = append(kept, entry)
			continue
		}
		if replaceable == 0 || kept[replaceable-1].override.BelowThresholdSince == 0 {
			break
		}
		replaceable--
		r.endOverride(hot, kept[replaceable])
		kept[replaceable] = entry
	}
	return kept
}

func (r *round) overrideLimit() int {
	if r.in.OverrideLimit <= 0 || r.in.OverrideLimit > MaxOverrides {
		return MaxOverrides
	}
	return r.in.OverrideLimit
}

// appendOverride appends the unit of an override. A new override starts with the owner of its partition, so that
// creating it moves nothing.
func (r *round) appendOverride(hot *hotKeys, entry keyEntry) {
	if entry.isNew {
		partition := &r.units[entry.partition]
		partition.load = max(0, partition.load-entry.load)
		entry.previous = partition.previous
		entry.override.Owner = r.in.Partitions[entry.partition].Owner
	}
	r.units = append(r.units, unit{load: entry.load, previous: entry.previous, owner: entry.previous})
	hot.overrides = append(hot.overrides, entry.override)
	hot.loads = append(hot.loads, entry.load)
	hot.partitions = append(hot.partitions, entry.partition)
}
