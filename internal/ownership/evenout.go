package ownership

import (
	"cmp"
	"slices"
)

const (
	// fragmentKeys is how many moved keys one more row is worth: each row is a grant to renew.
	fragmentKeys = 128
	// leastGain is the share of the mean utilization by which a move has to bring a server down.
	leastGain = 0.05
	// overshoot is how much more than the wanted rate a move may carry.
	overshoot = 1.3
	// undershoot is how much of the wanted rate a move has to carry at least.
	undershoot = 0.4
)

// evenOut moves keys from the busiest to the least busy servers while that helps.
func (d *draft) evenOut() {
	mean := d.mean()
	skipped := make(map[*draftServer]bool)
	limit := d.settings.MaxMoves * (1 + len(d.servers)/movesPer)
	for len(d.moves) < limit {
		from := d.busiest(skipped)
		if from == nil || from.utilization() < mean*d.settings.Tolerance || from.utilization() < d.settings.IdleUtilization {
			return
		}
		if !d.relieve(from, mean) {
			skipped[from] = true
		}
	}
}

// busiest returns the server with the highest utilization that is not skipped.
func (d *draft) busiest(skipped map[*draftServer]bool) *draftServer {
	var busiest *draftServer
	for _, server := range d.servers {
		if !skipped[server] && (busiest == nil || server.utilization() > busiest.utilization()) {
			busiest = server
		}
	}
	return busiest
}

// relieve moves some keys away from a server, and reports whether a move helped.
func (d *draft) relieve(from *draftServer, mean float64) bool {
	to := d.lowest()
	if to == from {
		return false
	}
	wanted := min(from.rate-mean*from.Capacity, mean*to.Capacity-to.rate)
	if wanted <= 0 {
		return false
	}
	window, row, found := d.window(from, wanted)
	if !found {
		return d.isolate(from, to, mean)
	}
	rate := d.rate(window)
	after := max((from.rate-rate)/from.Capacity, (to.rate+rate)/to.Capacity)
	if from.utilization()-after < leastGain*mean {
		return false
	}
	d.take(from, row, window, to)
	return true
}

// window returns the cheapest range of keys of a server with about the wanted rate, and the index of its row.
func (d *draft) window(from *draftServer, wanted float64) (Keys, int, bool) {
	var best Keys
	bestRow, bestCost := -1, 0
	for i, row := range from.rows {
		if row.fixed {
			continue
		}
		last := row.First
		for first := row.First; first <= row.Last; first++ {
			last = max(last, first)
			for last < row.Last && d.sums[last+1]-d.sums[first] < undershoot*wanted {
				last++
			}
			keys := Keys{First: first, Last: last}
			rate := d.rate(keys)
			if rate < undershoot*wanted || rate > overshoot*wanted {
				continue
			}
			if cost := windowCost(row.Keys, keys); bestRow < 0 || cost < bestCost {
				best, bestRow, bestCost = keys, i, cost
			}
		}
	}
	if bestRow < 0 {
		return Keys{}, 0, false
	}
	return d.extend(from.rows[bestRow].Keys, best, wanted), bestRow, true
}

// extend widens a range within its row while it stays below the wanted rate, towards the busier side.
func (d *draft) extend(row, keys Keys, wanted float64) Keys {
	for d.rate(keys) < wanted {
		left, right := -1.0, -1.0
		if keys.First > row.First {
			left = d.sums[keys.First] - d.sums[keys.First-1]
		}
		if keys.Last < row.Last {
			right = d.sums[keys.Last+2] - d.sums[keys.Last+1]
		}
		next := max(left, right)
		if next < 0 || d.rate(keys)+next > overshoot*wanted {
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

// windowCost is the number of keys that move, with the price of the rows that the cut adds.
func windowCost(row, keys Keys) int {
	cost := keys.Count()
	if keys.First > row.First {
		cost += fragmentKeys
	}
	if keys.Last < row.Last {
		cost += fragmentKeys
	}
	return cost
}

// cut takes a range out of a row.
func (s *draftServer) cut(i int, keys Keys) {
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
