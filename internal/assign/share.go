package assign

// computeShare adds the floor to the partitions, sets the load per capacity that a server should have, and finds
// the keys that exceed the share of a whole server. Such a key fills a server of its own, so it and that server do
// not count for the share of the others.
func (r *round) computeShare() {
	r.addFloor()
	total := 0.0
	for i := range r.units {
		total += r.units[i].load
	}
	up, greatest := r.countUp()
	capacity := r.capacitySum
	mean := capacity / float64(up)
	for i, load := range r.hot.loads {
		if len(r.tooHot) == up-1 || load <= total/capacity*greatest {
			break
		}
		r.tooHot = append(r.tooHot, KeyLoad{Key: r.hot.overrides[i].Key, Load: load})
		total -= load
		capacity -= mean
	}
	r.share = total / capacity
}

// addFloor adds the even part of the load to each partition.
func (r *round) addFloor() {
	total := 0.0
	for i := range r.units {
		total += r.units[i].load
	}
	weight, _ := upWeight(r.in)
	floor := partitionFloor(r.in, total, weight)
	for i := range r.in.Partitions {
		r.units[i].load += floor
		r.meanPartition += r.units[i].load / float64(len(r.in.Partitions))
	}
}

// countUp returns the number of servers that are up and the greatest capacity.
func (r *round) countUp() (up int, greatest float64) {
	for _, capacity := range r.capacity {
		if capacity > 0 {
			up++
			greatest = max(greatest, capacity)
		}
	}
	return up, greatest
}
