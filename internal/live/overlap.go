package live

import (
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// maxOverlapNotes bounds the overlaps that a report describes.
const maxOverlapNotes = 3

// noteOverlaps describes executions of one key that overlap on two servers, so that a broken promise can be traced.
func (r *run) noteOverlaps() {
	byKey := make(map[string][]dev.Execution)
	service := r.keyedService().Name
	for _, e := range r.deployment.Executions.All() {
		if e.Service == service {
			byKey[e.Key] = append(byKey[e.Key], e)
		}
	}
	noted := 0
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b dev.Execution) int { return a.Start.Compare(b.Start) })
		for i, e := range list {
			for _, later := range list[i+1:] {
				if later.Server != e.Server && later.Start.Before(e.End) && noted < maxOverlapNotes {
					noted++
					r.noteOverlap(key, e, later)
				}
			}
		}
	}
}

func (r *run) noteOverlap(key string, first, second dev.Execution) {
	since := func(t time.Time) time.Duration { return t.Sub(r.start).Round(time.Millisecond) }
	r.note("overlap of key %s: %s from %s to %s under token %s, %s from %s to %s under token %s", key,
		first.Server, since(first.Start), since(first.End), first.Token,
		second.Server, since(second.Start), since(second.End), second.Token)
}
