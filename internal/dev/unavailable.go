package dev

import (
	"slices"
	"time"
)

// Unavailable is the time during which keys or services were not served.
type Unavailable struct {
	// Worst is the longest time of one key.
	Worst time.Duration
	// WorstKey is the key with the longest time.
	WorstKey string
	// WorstFrom is the begin of that time.
	WorstFrom time.Time
	// Total is the sum over keys.
	Total time.Duration
	// Keys is the number of keys with an unavailable time above zero.
	Keys int
}

// steadyGap is the time between two answers up to which a key counts as served: two requests of the prober and
// half an interval of jitter.
const steadyGap = 2*probeInterval + probeInterval/2

// unavailableTime measures, for each key of a keyed service and for each other service as a whole, the time between
// two successive answers beyond steadyGap. A request that waits for its owner shows in the gap like one that is
// refused.
func unavailableTime(records []Record, keyed map[string]bool, start, end time.Time) Unavailable {
	answers := make(map[string][]time.Time)
	for _, r := range records {
		name := r.Service
		if keyed[r.Service] {
			name += "/" + r.Key
		}
		list := answers[name]
		if r.Result == ResultAnswered {
			list = append(list, r.Start.Add(r.Took))
		}
		answers[name] = list
	}
	var u Unavailable
	for key, list := range answers {
		u.add(key, gaps(list, start, end))
	}
	return u
}

func (u *Unavailable) add(key string, g keyGaps) {
	if g.total == 0 {
		return
	}
	u.Keys++
	u.Total += g.total
	if g.longest > u.Worst {
		u.Worst, u.WorstKey, u.WorstFrom = g.longest, key, g.from
	}
}

// keyGaps are the gaps between the answers for one key.
type keyGaps struct {
	longest, total time.Duration
	// from is the begin of the longest gap.
	from time.Time
}

// gaps returns the gaps between start, the answers and end.
func gaps(answers []time.Time, start, end time.Time) keyGaps {
	slices.SortFunc(answers, time.Time.Compare)
	var g keyGaps
	last := start
	for _, at := range append(answers, end) {
		if at.After(end) {
			at = end
		}
		if gap := at.Sub(last); gap > steadyGap {
			g.total += gap
			if gap > g.longest {
				g.longest, g.from = gap, last
			}
		}
		last = at
	}
	return g
}
