package live

import (
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// maxOverlapNotes limits the number of overlaps that a report describes.
const maxOverlapNotes = 3

// addOverlapNotes describes executions of one key that overlap in time on two servers, so that a violation of exclusive
// ownership can be traced.
func (r *run) addOverlapNotes() {
	byKey := make(map[string][]dev.Execution)
	service := r.keyedService().Name
	for _, e := range r.deployment.Executions.All() {
		if e.Service == service {
			byKey[e.Key] = append(byKey[e.Key], e)
		}
	}
	count := 0
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b dev.Execution) int { return a.Start.Compare(b.Start) })
		for i, e := range list {
			for _, later := range list[i+1:] {
				if later.Server != e.Server && later.Start.Before(e.End) && count < maxOverlapNotes {
					count++
					r.addOverlapNote(key, e, later)
				}
			}
		}
	}
}

func (r *run) addOverlapNote(key string, first, second dev.Execution) {
	offset := func(t time.Time) time.Duration { return t.Sub(r.start).Round(time.Millisecond) }
	r.addNote("overlap of key %s: %s from %s to %s under token %s, %s from %s to %s under token %s", key,
		first.Server, offset(first.Start), offset(first.End), first.Token,
		second.Server, offset(second.Start), offset(second.End), second.Token)
}
