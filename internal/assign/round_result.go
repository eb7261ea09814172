package assign

// result builds the Result of the round.
func (r *round) result() *Result {
	result := &Result{
		Owners:          make([]string, len(r.in.Partitions)),
		OversizedKeys:   r.oversizedKeys,
		Deferred:        r.deferred,
		UnbalancedSince: r.unbalancedSince,
	}
	if count := r.maxMoves(); count > 0 {
		result.Moves = make([]Move, 0, count)
	}
	for i := range r.in.Partitions {
		partition := &r.in.Partitions[i]
		result.Owners[i] = r.newOwnerName(i, partition.Owner)
		if result.Owners[i] != partition.Owner {
			move := Move{Partition: partition.ID, From: partition.Owner, To: result.Owners[i], Reason: r.moveReason(i, partition.Owner)}
			result.Moves = append(result.Moves, move)
		}
	}
	r.addOverrides(result)
	r.addReturnedKeys(result)
	if r.fairShare > 0 {
		result.Imbalance = r.computeImbalance()
	}
	return result
}

// maxMoves returns an upper bound on the number of moves: a key whose override ends may keep its owner.
func (r *round) maxMoves() int {
	count := len(r.hotKeyState.returned)
	for i := range r.units {
		if r.units[i].owner != r.units[i].previous {
			count++
		}
	}
	return count
}

// newOwnerName returns the name of the owner of a unit after the round. A unit that did not move keeps its owner even
// if that server is unknown.
func (r *round) newOwnerName(i int, previous string) string {
	if r.units[i].owner == r.units[i].previous {
		return previous
	}
	return r.in.Servers[r.units[i].owner].Name
}

func (r *round) moveReason(i int, from string) Reason {
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
	for i, override := range r.hotKeyState.overrides {
		index := len(r.in.Partitions) + i
		from := override.Owner
		override.Owner = r.newOwnerName(index, from)
		result.Overrides = append(result.Overrides, override)
		if override.Owner != from {
			partition := r.in.Partitions[r.hotKeyState.partitions[i]].ID
			move := Move{Partition: partition, Key: override.Key, From: from, To: override.Owner, Reason: r.moveReason(index, from)}
			result.Moves = append(result.Moves, move)
		}
	}
}

// addReturnedKeys adds a move for each key whose override ended and whose partition has another owner.
func (r *round) addReturnedKeys(result *Result) {
	for _, entry := range r.hotKeyState.returned {
		to := result.Owners[entry.partition]
		if entry.override.Owner != to {
			partition := r.in.Partitions[entry.partition].ID
			move := Move{Partition: partition, Key: entry.override.Key, From: entry.override.Owner, To: to, Reason: ReasonReturn}
			result.Moves = append(result.Moves, move)
		}
	}
}

// computeImbalance returns the highest relative load of a server, not counting oversized keys.
func (r *round) computeImbalance() float64 {
	r.sumLoads()
	for i := range r.oversizedKeys {
		owner := r.units[len(r.in.Partitions)+i].owner
		r.load[owner] -= r.oversizedKeys[i].Load
	}
	highest := 0.0
	for server := range r.capacity {
		if r.capacity[server] > 0 {
			highest = max(highest, r.relativeLoad(int32(server)))
		}
	}
	return highest
}
