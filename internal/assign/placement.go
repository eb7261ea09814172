package assign

// placeForcedUnits assigns every unit that has no owner or whose server leaves. Units are placed heaviest first, each
// on the server with the lowest relative load.
func (r *round) placeForcedUnits() {
	forced := r.forcedUnits()
	if len(forced) == 0 {
		return
	}
	r.sortByLoad(forced)
	r.forcedMoves = len(forced)
	targets := newServerHeap(len(r.capacity))
	for server := range r.capacity {
		if r.capacity[server] > 0 {
			targets.set(int32(server), r.relativeLoad(int32(server)))
		}
	}
	for _, i := range forced {
		r.moveUnit(i, targets.top())
		targets.set(targets.top(), r.relativeLoad(targets.top()))
	}
}

// forcedUnits returns the units that must change owner in this round.
func (r *round) forcedUnits() []int32 {
	var forced []int32
	draining := make(map[int32][]int32)
	for i := range r.units {
		owner := r.units[i].owner
		switch {
		case owner == noServer || r.in.Servers[owner].State == Down:
			forced = append(forced, int32(i))
		case r.capacity[owner] == 0:
			draining[owner] = append(draining[owner], int32(i))
		}
	}
	for server := range r.in.Servers {
		units := draining[int32(server)]
		forced = append(forced, r.drainBatch(server, units)...)
	}
	return forced
}

// drainBatch returns the units of a draining server to move in this round. The drain is spread in equal batches over
// the rounds until DrainDeadline.
func (r *round) drainBatch(server int, units []int32) []int32 {
	rounds := 1
	remaining := r.in.Servers[server].DrainDeadline - r.in.Now
	if remaining > 0 && r.tuning.RoundInterval > 0 {
		rounds = max(1, int(remaining/r.tuning.RoundInterval))
	}
	batch := (len(units) + rounds - 1) / rounds
	if batch < len(units) {
		r.deferred = true
		r.sortByLoad(units)
	}
	return units[:batch]
}

// moveUnit changes the owner of a unit and updates the loads of both servers.
func (r *round) moveUnit(i, to int32) {
	unit := &r.units[i]
	if unit.owner != noServer {
		r.load[unit.owner] -= unit.load
	}
	unit.owner = to
	r.load[to] += unit.load
}
