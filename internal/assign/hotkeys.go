package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// hotKeys is the state of the overrides during one round.
type hotKeys struct {
	overrides []Override
	// loads holds the load of each override.
	loads []float64
	// partitions holds the position of the partition of each override.
	partitions []int
	// returned are the overrides that end in this round.
	returned []keyEntry
}

// keyEntry is one key that is considered for an override.
type keyEntry struct {
	override  Override
	load      float64
	partition int
	// previous is the index of the owner before the round.
	previous int32
	isNew    bool
}

// splitHotKeys decides which keys have an override, takes the load of new ones out of their partitions and appends
// a unit for each.
func splitHotKeys(r *round, index map[string]int32) hotKeys {
	loads := keyLoads(r.in.HotKeys)
	share := r.keyShare(loads)
	kept, hot := r.keepOverrides(loads, share*r.tuning.ReturnThreshold, index)
	fresh := r.candidates(loads, share*r.tuning.SplitThreshold)
	kept = r.admit(kept, fresh, &hot)
	slices.SortFunc(kept, compareEntries)
	for _, entry := range kept {
		r.appendOverride(&hot, entry)
	}
	return hot
}

// keyLoads returns the loads by key without undefined values. A key that is reported twice counts with the sum.
func keyLoads(keys []KeyLoad) map[string]float64 {
	loads := make(map[string]float64, len(keys))
	for _, key := range keys {
		loads[key.Key] += cleanLoad(key.Load)
	}
	return loads
}

// keyShare returns the load that a server of weight 1 would have with exactly its share.
func (r *round) keyShare(loads map[string]float64) float64 {
	total := 0.0
	for i := range r.units {
		total += r.units[i].load
	}
	for i := range r.in.Overrides {
		total += loads[r.in.Overrides[i].Key]
	}
	weight, _ := upWeight(r.in)
	if weight == 0 {
		return 0
	}
	return (total + partitionFloor(r.in, total, weight)*float64(len(r.in.Partitions))) / weight
}

// keepOverrides returns the overrides that stay, and a hotKeys with those that return to their partition.
func (r *round) keepOverrides(loads map[string]float64, returnAt float64, index map[string]int32) ([]keyEntry, hotKeys) {
	var hot hotKeys
	kept := make([]keyEntry, 0, len(r.in.Overrides))
	for _, override := range r.in.Overrides {
		partition, ok := r.partitionIndex(uint32(keyspace.PartitionOf(override.Key, r.in.PartitionCount)))
		if !ok {
			continue
		}
		entry := keyEntry{override: override, load: loads[override.Key], partition: partition}
		entry.previous = lookup(index, override.Owner)
		if r.updateQuiet(&entry.override, entry.load < returnAt) {
			r.returnKey(&hot, entry)
			continue
		}
		kept = append(kept, entry)
	}
	return kept, hot
}

// updateQuiet records since when a key is quiet and reports whether it returns to its partition.
func (r *round) updateQuiet(override *Override, quiet bool) bool {
	now := max(r.in.Now, 1)
	override.Since = min(override.Since, now)
	if !quiet {
		override.BelowThresholdSince = 0
		return false
	}
	if override.BelowThresholdSince == 0 || override.BelowThresholdSince > now {
		override.BelowThresholdSince = now
	}
	return hasPassed(now, override.BelowThresholdSince, r.tuning.ReturnDelay) && hasPassed(now, override.Since, r.tuning.MinOverrideDuration)
}

func hasPassed(now, since, wait time.Duration) bool {
	return now-since >= wait
}

// returnKey gives the load of a key back to its partition.
func (r *round) returnKey(hot *hotKeys, entry keyEntry) {
	r.units[entry.partition].load += entry.load
	hot.returned = append(hot.returned, entry)
}

// candidates returns the keys without an override whose load passes the threshold, hottest first.
func (r *round) candidates(loads map[string]float64, splitAt float64) []keyEntry {
	if splitAt <= 0 {
		return nil
	}
	existing := make(map[string]bool, len(r.in.Overrides))
	for i := range r.in.Overrides {
		existing[r.in.Overrides[i].Key] = true
	}
	var fresh []keyEntry
	for key, load := range loads {
		if load < splitAt || existing[key] {
			continue
		}
		if partition, ok := r.partitionIndex(uint32(keyspace.PartitionOf(key, r.in.PartitionCount))); ok {
			override := Override{Key: key, Since: max(r.in.Now, 1)}
			fresh = append(fresh, keyEntry{override: override, load: load, partition: partition, isNew: true})
		}
	}
	slices.SortFunc(fresh, compareEntries)
	return fresh
}

// compareEntries orders the hottest key first.
func compareEntries(a, b keyEntry) int {
	if c := cmp.Compare(b.load, a.load); c != 0 {
		return c
	}
	return cmp.Compare(a.override.Key, b.override.Key)
}

// admit adds candidates up to the limit. A candidate may replace a quiet override, which is below the return
// threshold and therefore does not become a candidate again at once.
func (r *round) admit(kept, fresh []keyEntry, hot *hotKeys) []keyEntry {
	limit := r.overrideLimit()
	slices.SortFunc(kept, compareEntries)
	for len(kept) > limit {
		r.returnKey(hot, kept[len(kept)-1])
		kept = kept[:len(kept)-1]
	}
	quiet := len(kept)
	for _, entry := range fresh {
		if len(kept) < limit {
			kept = append(kept, entry)
			continue
		}
		if quiet == 0 || kept[quiet-1].override.BelowThresholdSince == 0 {
			break
		}
		quiet--
		r.returnKey(hot, kept[quiet])
		kept[quiet] = entry
	}
	return kept
}

func (r *round) overrideLimit() int {
	if r.in.OverrideLimit <= 0 || r.in.OverrideLimit > MaxOverrides {
		return MaxOverrides
	}
	return r.in.OverrideLimit
}

// appendOverride adds the unit of a key. A new override starts at the owner of its partition, so that leaving the
// partition is not a move.
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
