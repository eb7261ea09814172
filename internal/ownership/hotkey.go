package ownership

const (
	// hotKeyShare is the fraction of a server's load, or capacity, above which a single key is treated as hot.
	hotKeyShare = 0.4
	// minSpeedRatio is the minimum capacity of a server to which a hot key may be moved, relative to that of its owner.
	minSpeedRatio = 1.15
	// minShedUtilization is the minimum rate, as a fraction of the owner's capacity, of a range that is moved away from
	// the owner of a hot key.
	minShedUtilization = 0.04
)

// isolateHotKey handles a hot key. If the key alone overloads its owner and there is a faster server, it moves the key
// there; otherwise it moves other keys of the owner to another server.
func (d *draft) isolateHotKey(from, to *draftServer, mean float64) bool {
	key, rate, row := d.hottestKey(from)
	if row < 0 || rate < hotKeyShare*from.rate {
		return false
	}
	if faster := d.fasterServer(from); faster != nil && rate > mean*from.Capacity*d.settings.Tolerance {
		d.moveRange(from, row, Keys{First: key, Last: key}, faster)
		return true
	}
	return d.shedOtherKeys(from, to, key, mean)
}

// hottestKey returns the key with the highest rate among those of a server that may be moved, its rate and the index of
// its row, or row -1 if there is none.
func (d *draft) hottestKey(server *draftServer) (key int, rate float64, row int) {
	row = -1
	for i, candidate := range server.rows {
		if candidate.fixed {
			continue
		}
		for k := candidate.First; k <= candidate.Last; k++ {
			if r := d.prefixSums[k+1] - d.prefixSums[k]; r > rate {
				key, rate, row = k, r, i
			}
		}
	}
	return key, rate, row
}

// fasterServer returns the fastest server that exceeds the given one by minSpeedRatio and has no hot key of its own, or
// nil.
func (d *draft) fasterServer(than *draftServer) *draftServer {
	var best *draftServer
	for _, server := range d.servers {
		if server == than || server.Capacity < minSpeedRatio*than.Capacity || best != nil && server.Capacity <= best.Capacity {
			continue
		}
		if _, rate, _ := d.hottestKey(server); rate >= hotKeyShare*server.Capacity || hasFixed(server) {
			continue
		}
		best = server
	}
	return best
}

// hasFixed reports whether a server has fixed rows, which may contain a hot key.
func hasFixed(server *draftServer) bool {
	for _, row := range server.rows {
		if row.fixed {
			return true
		}
	}
	return false
}

// shedOtherKeys moves a range of keys without the hot one from its owner to another server.
func (d *draft) shedOtherKeys(from, to *draftServer, key int, mean float64) bool {
	best, bestRow, bestRate := Keys{}, -1, 0.0
	for i, row := range from.rows {
		if row.fixed {
			continue
		}
		for _, part := range rangesWithout(row.Keys, key) {
			if rate := d.rate(part); rate > bestRate {
				best, bestRow, bestRate = part, i, rate
			}
		}
	}
	if bestRow < 0 || bestRate < minShedUtilization*from.Capacity {
		return false
	}
	room := mean*d.settings.Tolerance*to.Capacity - to.rate
	if room <= 0 {
		return false
	}
	d.moveRange(from, bestRow, d.prefixWithRate(best, room), to)
	return true
}

// rangesWithout returns the parts of a range before and after a key, or the whole range if it does not contain the key.
func rangesWithout(keys Keys, key int) []Keys {
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

// moveRange moves part of a server's row to another server.
func (d *draft) moveRange(from *draftServer, row int, keys Keys, to *draftServer) {
	from.removeRange(row, keys)
	from.rate -= d.rate(keys)
	d.addMove(keys, to)
}
