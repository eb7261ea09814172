package assign

// ownedUnits lists the units of each server, heaviest first. Each list is sorted on first access.
type ownedUnits struct {
	lists  [][]int32
	sorted []bool
}

// newOwnedUnits lists the units with an index of at least first.
func newOwnedUnits(r *round, first int) ownedUnits {
	counts := make([]int, len(r.capacity))
	for i := first; i < len(r.units); i++ {
		if owner := r.units[i].owner; owner != noServer {
			counts[owner]++
		}
	}
	backing := make([]int32, len(r.units)-first)
	owned := ownedUnits{lists: make([][]int32, len(counts)), sorted: make([]bool, len(counts))}
	for server, count := range counts {
		owned.lists[server], backing = backing[:0:count], backing[count:]
	}
	for i := first; i < len(r.units); i++ {
		if owner := r.units[i].owner; owner != noServer {
			owned.lists[owner] = append(owned.lists[owner], int32(i))
		}
	}
	return owned
}

// unitsOf returns the units of a server that have not moved in this pass.
func (o *ownedUnits) unitsOf(r *round, server int32) []int32 {
	if !o.sorted[server] {
		r.sortByLoad(o.lists[server])
		o.sorted[server] = true
	}
	return o.lists[server]
}

// remove removes the unit at an index of the list of a server and returns it.
func (o *ownedUnits) remove(server int32, index int) int32 {
	list := o.lists[server]
	removed := list[index]
	copy(list[index:], list[index+1:])
	o.lists[server] = list[:len(list)-1]
	return removed
}
