package dev

import (
	"slices"
	"time"
)

// Unavailability is the total and longest time in which keys or services were not served.
type Unavailability struct {
	// Worst is the longest single interval in which a key was not served.
	Worst time.Duration
	// WorstKey is the key of that interval.
	WorstKey string
	// WorstFrom is the start of that interval.
	WorstFrom time.Time
	// Total is the sum over all keys.
	Total time.Duration
	// Keys is the number of keys with an unavailable time above zero.
	Keys int
}

// maxServedGap is the longest time between two successive responses in which a key counts as served: two intervals of
// the prober and half an interval of jitter.
const maxServedGap = 2*probeInterval + probeInterval/2

// measureUnavailable measures the gaps between successive responses that exceed maxServedGap, for each key of a sharded
// service and for each other service as a whole. A request that waits for its owner contributes to the gap like one
// that is refused.
func measureUnavailable(records []Record, keyed map[string]bool, start, end time.Time) Unavailability {
	responses := make(map[string][]time.Time)
	for _, r := range records {
		name := r.Service
		if keyed[r.Service] {
			name += "/" + r.Key
		}
		list := responses[name]
		if r.Outcome == OutcomeAnswered {
			list = append(list, r.Start.Add(r.Latency))
		}
		responses[name] = list
	}
	var u Unavailability
	for key, list := range responses {
		u.add(key, measureGaps(list, start, end))
	}
	return u
}

func (u *Unavailability) add(key string, g keyGaps) {
	if g.total == 0 {
		return
	}
	u.Keys++
	u.Total += g.total
	if g.longest > u.Worst {
		u.Worst, u.WorstKey, u.WorstFrom = g.longest, key, g.longestFrom
	}
}

// keyGaps describes the gaps between the responses for one key that exceed maxServedGap.
type keyGaps struct {
	longest, total time.Duration
	// longestFrom is the start of the longest gap.
	longestFrom time.Time
}

// measureGaps measures the gaps between start, the times of the responses and end.
func measureGaps(responses []time.Time, start, end time.Time) keyGaps {
	slices.SortFunc(responses, time.Time.Compare)
	var g keyGaps
	last := start
	for _, at := range append(responses, end) {
		if at.After(end) {
			at = end
		}
		if gap := at.Sub(last); gap > maxServedGap {
			g.total += gap
			if gap > g.longest {
				g.longest, g.longestFrom = gap, last
			}
		}
		last = at
	}
	return g
}
