package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admission"
)

// Stop announces that the process ends at a time. From now on, requests that would not be answered by then are refused,
// those that are queued already among them: their clients have the most time left to send them to another gateway.
func (d *Dispatcher) Stop(end time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping, d.endsAt = true, end
	now := d.clock()
	for _, s := range d.services {
		if len(s.queue) > 0 {
			s.sortQueue(now)
			s.queue = d.refuseBeyondStop(s, now)
		}
	}
	d.placeQueued()
}

// refuseBeyondStop refuses the queued requests of a service that, with those before them, do not fit before the end of the
// process, and returns the others.
func (d *Dispatcher) refuseBeyondStop(s *service, now time.Duration) []*waiter {
	remaining := s.queue[:0]
	for _, w := range s.queue {
		ahead := 0
		for _, other := range remaining {
			if s.compete(other.request, w.request) {
				ahead++
			}
		}
		if c := s.choose(w.request, now, ahead); c.server == nil && !d.fitsBeforeStop(c, now) {
			w.refuse(ReasonStopping, 0)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(s.queue[len(remaining):])
	return remaining
}

// fitsBeforeStop reports whether a request with this choice is answered before the process ends.
func (d *Dispatcher) fitsBeforeStop(c choice, now time.Duration) bool {
	if !d.stopping {
		return true
	}
	wait := c.wait
	if c.server != nil {
		wait = c.state.Wait()
	}
	return admission.FitsBeforeStop(d.endsAt, now, wait, c.runTime)
}

// Queued returns the number of requests that wait for a backend server.
func (d *Dispatcher) Queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	queued := 0
	for _, s := range d.services {
		queued += len(s.queue)
	}
	return queued
}
