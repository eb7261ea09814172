package ownership

import (
	"cmp"
	"slices"
)

const (
	// extraRowCost is the cost of an additional row, expressed as a number of moved keys. Each row is a separate grant
	// that has to be renewed.
	extraRowCost = 128
	// minGain is the minimum by which a move must reduce the higher utilization of the two servers, as a fraction of the
	// mean utilization.
	minGain = 0.05
	// maxRateRatio is the maximum rate of a moved range, relative to the wanted rate.
	maxRateRatio = 1.3
	// minRateRatio is the minimum rate of a moved range, relative to the wanted rate.
	minRateRatio = 0.4
)

// balance moves keys from the most to the least utilized servers until no server exceeds the tolerance, no move helps
// or the plan has the maximum number of moves.
func (d *draft) balance() {
	mean := d.meanUtilization()
	skipped := make(map[*draftServer]bool)
	limit := d.settings.MaxMoves * (1 + len(d.servers)/serversPerMaxMoves)
	for len(d.moves) < limit {
		from := d.mostUtilized(skipped)
		if from == nil || from.utilization() < mean*d.settings.Tolerance || from.utilization() < d.settings.IdleUtilization {
			return
		}
		if from.certainUtilization() < mean*d.settings.Tolerance || !d.offload(from, mean) {
			skipped[from] = true
		}
	}
}

// mostUtilized returns the server with the highest utilization, ignoring the skipped ones, or nil.
func (d *draft) mostUtilized(skipped map[*draftServer]bool) *draftServer {
	var mostUtilized *draftServer
	for _, server := range d.servers {
		if !skipped[server] && (mostUtilized == nil || server.utilization() > mostUtilized.utilization()) {
			mostUtilized = server
		}
	}
	return mostUtilized
}

// offload moves keys away from a server. It reports whether it found a useful move.
func (d *draft) offload(from *draftServer, mean float64) bool {
	to := d.leastUtilized()
	if to == from {
		return false
	}
	wanted := min(from.rate-mean*from.Capacity, mean*to.Capacity-to.rate)
	if wanted <= 0 {
		return false
	}
	keys, row, found := d.cheapestRange(from, wanted)
	if !found {
		return d.isolateHotKey(from, to, mean)
	}
	rate := d.rate(keys)
	after := max((from.rate-rate)/from.Capacity, (to.rate+rate)/to.Capacity)
	if from.utilization()-after < minGain*mean {
		return false
	}
	d.moveRange(from, row, keys, to)
	return true
}

// cheapestRange returns the range of a server's keys that is cheapest to move among those with approximately the wanted
// rate, and the index of its row.
func (d *draft) cheapestRange(from *draftServer, wanted float64) (Keys, int, bool) {
	var best Keys
	bestRow, bestCost := -1, 0
	for i, row := range from.rows {
		if row.fixed {
			continue
		}
		last := row.First
		for first := row.First; first <= row.Last; first++ {
			last = max(last, first)
			for last < row.Last && d.prefixSums[last+1]-d.prefixSums[first] < minRateRatio*wanted {
				last++
			}
			keys := Keys{First: first, Last: last}
			rate := d.rate(keys)
			if rate < minRateRatio*wanted || rate > maxRateRatio*wanted {
				continue
			}
			if cost := moveCost(row.Keys, keys); bestRow < 0 || cost < bestCost {
				best, bestRow, bestCost = keys, i, cost
			}
		}
	}
	if bestRow < 0 {
		return Keys{}, 0, false
	}
	return d.extendRange(from.rows[bestRow].Keys, best, wanted), bestRow, true
}

// extendRange extends a range within its row until it reaches the wanted rate, each time by the neighbouring key with
// the higher rate.
func (d *draft) extendRange(row, keys Keys, wanted float64) Keys {
	for d.rate(keys) < wanted {
		left, right := -1.0, -1.0
		if keys.First > row.First {
			left = d.prefixSums[keys.First] - d.prefixSums[keys.First-1]
		}
		if keys.Last < row.Last {
			right = d.prefixSums[keys.Last+2] - d.prefixSums[keys.Last+1]
		}
		next := max(left, right)
		if next < 0 || d.rate(keys)+next > maxRateRatio*wanted {
			return keys
		}
		if left > right {
			keys.First--
		} else {
			keys.Last++
		}
	}
	return keys
}

// moveCost returns the cost of moving keys out of a row: their number, plus extraRowCost for each row that the split
// adds.
func moveCost(row, keys Keys) int {
	cost := keys.Count()
	if keys.First > row.First {
		cost += extraRowCost
	}
	if keys.Last < row.Last {
		cost += extraRowCost
	}
	return cost
}

// removeRange removes a range of keys from the row with the given index.
func (s *draftServer) removeRange(i int, keys Keys) {
	row := s.rows[i]
	s.rows = slices.Delete(s.rows, i, i+1)
	if row.First < keys.First {
		s.rows = append(s.rows, draftRow{Keys: Keys{First: row.First, Last: keys.First - 1}})
	}
	if keys.Last < row.Last {
		s.rows = append(s.rows, draftRow{Keys: Keys{First: keys.Last + 1, Last: row.Last}})
	}
	slices.SortFunc(s.rows, func(a, b draftRow) int { return cmp.Compare(a.First, b.First) })
}
