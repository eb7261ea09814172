package assign

// placeForced gives an owner to every unit without one and to the units of servers that leave. The heaviest unit
// goes first, each to the server with the lowest load relative to its share.
func (r *round) placeForced() {
	forced := r.forcedUnits()
	if len(forced) == 0 {
		return
	}
	r.sortByLoad(forced)
	r.forced = len(forced)
	receivers := newServerHeap(len(r.capacity))
	for server := range r.capacity {
		if r.capacity[server] > 0 {
			receivers.set(int32(server), r.ratio(int32(server)))
		}
	}
	for _, i := range forced {
		r.moveUnit(i, receivers.top())
		receivers.set(receivers.top(), r.ratio(receivers.top()))
	}
}

// forcedUnits returns the units that must get another owner in this round.
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
		forced = append(forced, r.drainNow(server, units)...)
	}
	return forced
}

// drainNow returns the part of a draining server's units that moves in this round, so that equal parts move until
// DrainBy.
func (r *round) drainNow(server int, units []int32) []int32 {
	rounds := 1
	left := r.in.Servers[server].DrainDeadline - r.in.Now
	if left > 0 && r.tuning.RoundInterval > 0 {
		rounds = max(1, int(left/r.tuning.RoundInterval))
	}
	part := (len(units) + rounds - 1) / rounds
	if part < len(units) {
		r.deferred = true
		r.sortByLoad(units)
	}
	return units[:part]
}

// moveUnit changes the owner of a unit and the loads of both servers.
func (r *round) moveUnit(i, to int32) {
	unit := &r.units[i]
	if unit.owner != noServer {
		r.load[unit.owner] -= unit.load
	}
	unit.owner = to
	r.load[to] += unit.load
}
