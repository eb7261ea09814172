package assign

// computeFairShare adds the base load to the partitions, finds the oversized keys, which exceed the fair share of a
// whole server, and computes the fair share. An oversized key occupies a server alone, so neither the key nor that
// server counts towards the fair share of the others.
func (r *round) computeFairShare() {
	r.addBaseLoad()
	total := 0.0
	for i := range r.units {
		total += r.units[i].load
	}
	up, maximum := r.countUpServers()
	capacity := r.totalCapacity
	mean := capacity / float64(up)
	for i, load := range r.hotKeyState.loads {
		if len(r.oversizedKeys) == up-1 || load <= total/capacity*maximum {
			break
		}
		r.oversizedKeys = append(r.oversizedKeys, KeyLoad{Key: r.hotKeyState.overrides[i].Key, Load: load})
		total -= load
		capacity -= mean
	}
	r.fairShare = total / capacity
}

// addBaseLoad adds the base load to each partition and computes the mean load.
func (r *round) addBaseLoad() {
	total := 0.0
	for i := range r.units {
		total += r.units[i].load
	}
	weight, _ := upWeights(r.in)
	baseLoad := partitionBaseLoad(r.in, total, weight)
	for i := range r.in.Partitions {
		r.units[i].load += baseLoad
		r.meanPartitionLoad += r.units[i].load / float64(len(r.in.Partitions))
	}
}

// countUpServers returns the number of servers that are up and their maximum capacity.
func (r *round) countUpServers() (up int, maximum float64) {
	for _, capacity := range r.capacity {
		if capacity > 0 {
			up++
			maximum = max(maximum, capacity)
		}
	}
	return up, maximum
}
