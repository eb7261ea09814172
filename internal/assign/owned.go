package assign

// ownedUnits lists the units of each server, heaviest first. A list is sorted when it is first read.
type ownedUnits struct {
	lists  [][]int32
	sorted []bool
}

// newOwnedUnits lists the units from first on.
func newOwnedUnits(r *round, first int) ownedUnits {
	counts := make([]int, len(r.capacity))
	for i := first; i < len(r.units); i++ {
		if owner := r.units[i].owner; owner != noServer {
			counts[owner]++
		}
	}
	all := make([]int32, len(r.units)-first)
	owned := ownedUnits{lists: make([][]int32, len(counts)), sorted: make([]bool, len(counts))}
	for server, count := range counts {
		owned.lists[server], all = all[:0:count], all[count:]
	}
	for i := first; i < len(r.units); i++ {
		if owner := r.units[i].owner; owner != noServer {
			owned.lists[owner] = append(owned.lists[owner], int32(i))
		}
	}
	return owned
}

// of returns the units of a server that have not moved in this pass.
func (o *ownedUnits) of(r *round, server int32) []int32 {
	if !o.sorted[server] {
		r.sortByLoad(o.lists[server])
		o.sorted[server] = true
	}
	return o.lists[server]
}

// take removes the unit at a position of the list of a server and returns it.
func (o *ownedUnits) take(server int32, at int) int32 {
	list := o.lists[server]
	taken := list[at]
	copy(list[at:], list[at+1:])
	o.lists[server] = list[:len(list)-1]
	return taken
}
