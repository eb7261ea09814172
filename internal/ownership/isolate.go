package ownership

const (
	// dominantShare is the share of a server's load from which one key counts as the reason for it.
	dominantShare = 0.4
	// fasterBy is how much faster a server has to be for a key to move there that overloads its owner.
	fasterBy = 1.15
	// worthShedding is the utilization that other keys must cause on the owner of a busy key to be moved away.
	worthShedding = 0.04
)

// isolate answers one key that is busier than a server should be: the key goes to the fastest server, and the other
// keys of its owner to servers with room.
func (d *draft) isolate(from, to *draftServer, mean float64) bool {
	key, rate, row := d.hottest(from)
	if row < 0 || rate < dominantShare*from.rate {
		return false
	}
	if faster := d.fastest(from); faster != nil && rate > mean*from.Capacity*d.settings.Tolerance {
		d.take(from, row, Keys{First: key, Last: key}, faster)
		return true
	}
	return d.shed(from, to, key, mean)
}

// hottest returns the busiest key of a server, its rate and the index of its row, or -1.
func (d *draft) hottest(server *draftServer) (key int, rate float64, row int) {
	row = -1
	for i, candidate := range server.rows {
		if candidate.fixed {
			continue
		}
		for k := candidate.First; k <= candidate.Last; k++ {
			if r := d.sums[k+1] - d.sums[k]; r > rate {
				key, rate, row = k, r, i
			}
		}
	}
	return key, rate, row
}

// fastest returns a server that is clearly faster than the given one and has no busy key of its own, or nil.
func (d *draft) fastest(than *draftServer) *draftServer {
	var best *draftServer
	for _, server := range d.servers {
		if server == than || server.Capacity < fasterBy*than.Capacity || best != nil && server.Capacity <= best.Capacity {
			continue
		}
		if _, rate, _ := d.hottest(server); rate >= dominantShare*server.Capacity || hasFixed(server) {
			continue
		}
		best = server
	}
	return best
}

// hasFixed reports whether keys are on their way to a server: one of them may be busy.
func hasFixed(server *draftServer) bool {
	for _, row := range server.rows {
		if row.fixed {
			return true
		}
	}
	return false
}

// shed moves keys other than the busy one away from its owner.
func (d *draft) shed(from, to *draftServer, key int, mean float64) bool {
	best, bestRow, bestRate := Keys{}, -1, 0.0
	for i, row := range from.rows {
		if row.fixed {
			continue
		}
		for _, part := range around(row.Keys, key) {
			if rate := d.rate(part); rate > bestRate {
				best, bestRow, bestRate = part, i, rate
			}
		}
	}
	if bestRow < 0 || bestRate < worthShedding*from.Capacity {
		return false
	}
	room := mean*d.settings.Tolerance*to.Capacity - to.rate
	if room <= 0 {
		return false
	}
	d.take(from, bestRow, d.prefix(best, room), to)
	return true
}

// around returns the parts of a range on both sides of a key, or the whole range if the key is elsewhere.
func around(keys Keys, key int) []Keys {
	if !keys.Contains(key) {
		return []Keys{keys}
	}
	var parts []Keys
	if keys.First < key {
		parts = append(parts, Keys{First: keys.First, Last: key - 1})
	}
	if key < keys.Last {
		parts = append(parts, Keys{First: key + 1, Last: keys.Last})
	}
	return parts
}

// take moves a part of a server's row to another server.
func (d *draft) take(from *draftServer, row int, keys Keys, to *draftServer) {
	from.cut(row, keys)
	from.rate -= d.rate(keys)
	d.move(keys, to)
}
