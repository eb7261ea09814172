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

// unavailableTime measures, for each key of a keyed service and for each other service as a whole, the time from the first request that was not answered to the next one
// that was. Refusals that the load itself causes do not count: the key was served, but not for this request.
func unavailableTime(records []Record, keyed map[string]bool, end time.Time) Unavailable {
	byKey := make(map[string][]Record)
	for _, r := range records {
		name := r.Service
		if keyed[r.Service] {
			name += "/" + r.Key
		}
		byKey[name] = append(byKey[name], r)
	}
	var u Unavailable
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b Record) int { return a.Start.Compare(b.Start) })
		total := keyUnavailable(list, end)
		if total > 0 {
			u.Keys++
			u.Total += total
		}
		if total > u.Worst {
			u.Worst, u.WorstKey = total, key
		}
	}
	return u
}

func keyUnavailable(list []Record, end time.Time) time.Duration {
	var total time.Duration
	var since time.Time
	for _, r := range list {
		switch {
		case isOverload(r):
		case r.Result != ResultAnswered && since.IsZero():
			since = r.Start
		case r.Result == ResultAnswered && !since.IsZero():
			// A request that waited for its owner is served from its answer on.
			total += max(0, r.Start.Add(r.Took).Sub(since))
			since = time.Time{}
		}
	}
	if !since.IsZero() {
		total += end.Sub(since)
	}
	return total
}

func isOverload(r Record) bool {
	return r.Kind == "queue-full" || r.Kind == "deadline-cannot-be-met" || r.Kind == "backend-shed-load"
}
