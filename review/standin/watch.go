package main

import (
	"context"
	"time"
)

func (w *world) context() context.Context { return context.Background() }

// ran counts a run of a request.
func (w *world) ran(upstream, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[request]++
	w.record.add("%s runs %s (run %d)", upstream, request, w.runs[request])
}

// arrived notes that a request has reached an upstream.
func (w *world) arrived(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[request] = true
}

// hasArrived reports whether a request has reached an upstream.
func (w *world) hasArrived(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals[request]
}

// hasRun notes that the run of a request has ended well.
func (w *world) hasRun(upstream, request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[request] = time.Now()
	w.record.add("%s has run %s", upstream, request)
}

// endedBefore reports whether a run of a request had ended well at a time.
func (w *world) endedBefore(request string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	end, ended := w.ends[request]
	return ended && end.Before(at)
}

// runsOf returns how often a request has run.
func (w *world) runsOf(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[request]
}

// overlap is a time in which two upstreams that are up held the same keys.
type overlap struct {
	a, b        string
	from, to    int
	since, last time.Time
}

const (
	overlapCheck = 20 * time.Millisecond
	// overlapBound is the bound of rule OWNER.
	overlapBound = 500 * time.Millisecond
)

// watchOwners checks until the context is done that no two upstreams that are up hold the same keys for over half a
// second. It returns the longest such time.
func (w *world) watchOwners(ctx context.Context) *overlap {
	type pair struct{ a, b *upstream }
	open := make(map[pair]*overlap)
	var worst *overlap
	for ctx.Err() == nil {
		now := time.Now()
		w.mu.Lock()
		upstreams := append([]*upstream(nil), w.upstreams...)
		w.mu.Unlock()
		held := make([][]hold, len(upstreams))
		for i, u := range upstreams {
			held[i] = u.held(now)
		}
		for i, a := range upstreams {
			for j, b := range upstreams[:i] {
				if a.service != b.service {
					continue
				}
				from, to, both := common(held[i], held[j])
				p := pair{a, b}
				if !both {
					delete(open, p)
					continue
				}
				if open[p] == nil {
					open[p] = &overlap{a: a.id, b: b.id, from: from, to: to, since: now}
					w.record.add("%s and %s both hold keys %d-%d", a.id, b.id, from, to)
				}
				o := open[p]
				o.last = now
				if worst == nil || o.last.Sub(o.since) > worst.last.Sub(worst.since) {
					worst = o
				}
			}
		}
		time.Sleep(overlapCheck)
	}
	return worst
}

// common returns the first keys that two lists of holds share.
func common(a, b []hold) (from, to int, both bool) {
	for _, x := range a {
		for _, y := range b {
			if from, to = max(x.from, y.from), min(x.to, y.to); from <= to {
				return from, to, true
			}
		}
	}
	return 0, 0, false
}
