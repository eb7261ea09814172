package assign

// result translates the state of the round to names.
func (r *round) result() *Result {
	result := &Result{
		Owners:          make([]string, len(r.in.Partitions)),
		OversizedKeys:   r.tooHot,
		Deferred:        r.deferred,
		UnbalancedSince: r.unbalancedSince,
	}
	if moved := r.countMoved(); moved > 0 {
		result.Moves = make([]Move, 0, moved)
	}
	for i := range r.in.Partitions {
		partition := &r.in.Partitions[i]
		result.Owners[i] = r.nameAfter(i, partition.Owner)
		if result.Owners[i] != partition.Owner {
			move := Move{Partition: partition.ID, From: partition.Owner, To: result.Owners[i], Reason: r.reason(i, partition.Owner)}
			result.Moves = append(result.Moves, move)
		}
	}
	r.addOverrides(result)
	r.addReturns(result)
	if r.share > 0 {
		result.Imbalance = r.imbalance()
	}
	return result
}

// countMoved returns the number of units that changed their owner and of keys that may have.
func (r *round) countMoved() int {
	moved := len(r.hot.returned)
	for i := range r.units {
		if r.units[i].owner != r.units[i].previous {
			moved++
		}
	}
	return moved
}

// nameAfter returns the owner of a unit after the round. A unit that did not move keeps its previous name, also if
// that server is unknown.
func (r *round) nameAfter(i int, previous string) string {
	if r.units[i].owner == r.units[i].previous {
		return previous
	}
	return r.in.Servers[r.units[i].owner].Name
}

func (r *round) reason(i int, from string) Reason {
	previous := r.units[i].previous
	switch {
	case from == "":
		return ReasonInitial
	case previous == noServer || r.in.Servers[previous].State != Up:
		return ReasonLeave
	default:
		return ReasonBalance
	}
}

func (r *round) addOverrides(result *Result) {
	for i, override := range r.hot.overrides {
		at := len(r.in.Partitions) + i
		from := override.Owner
		override.Owner = r.nameAfter(at, from)
		result.Overrides = append(result.Overrides, override)
		if override.Owner != from {
			partition := r.in.Partitions[r.hot.partitions[i]].ID
			move := Move{Partition: partition, Key: override.Key, From: from, To: override.Owner, Reason: r.reason(at, from)}
			result.Moves = append(result.Moves, move)
		}
	}
}

// addReturns reports the keys that return to a partition with another owner.
func (r *round) addReturns(result *Result) {
	for _, entry := range r.hot.returned {
		to := result.Owners[entry.partition]
		if entry.override.Owner != to {
			partition := r.in.Partitions[entry.partition].ID
			move := Move{Partition: partition, Key: entry.override.Key, From: entry.override.Owner, To: to, Reason: ReasonReturn}
			result.Moves = append(result.Moves, move)
		}
	}
}

// imbalance returns the greatest load relative to its share, without the keys that are too hot.
func (r *round) imbalance() float64 {
	r.sumLoads()
	for i := range r.tooHot {
		owner := r.units[len(r.in.Partitions)+i].owner
		r.load[owner] -= r.tooHot[i].Load
	}
	greatest := 0.0
	for server := range r.capacity {
		if r.capacity[server] > 0 {
			greatest = max(greatest, r.ratio(int32(server)))
		}
	}
	return greatest
}
