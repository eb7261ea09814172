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
		longest, total := gaps(list, start, end)
		u.add(key, longest, total)
	}
	return u
}

func (u *Unavailable) add(key string, longest, total time.Duration) {
	if total == 0 {
		return
	}
	u.Keys++
	u.Total += total
	if longest > u.Worst {
		u.Worst, u.WorstKey = longest, key
	}
}

// gaps returns the longest gap and the sum of all gaps between start, the answers and end.
func gaps(answers []time.Time, start, end time.Time) (longest, total time.Duration) {
	slices.SortFunc(answers, time.Time.Compare)
	last := start
	for _, at := range append(answers, end) {
		if at.After(end) {
			at = end
		}
		if gap := at.Sub(last); gap > steadyGap {
			total += gap
			longest = max(longest, gap)
		}
		last = at
	}
	return longest, total
}
