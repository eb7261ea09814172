package zones

import (
	"maps"
	"slices"
	"time"
)

// restoredGrace is how long after a restore of the store a drain is kept that its copy lacks. The operator's requests are
// written again within this time.
const restoredGrace = 2100 * time.Millisecond

// Drains is the set of zone drains that the operator has requested. All times are monotonic times since the start of the
// process.
type Drains struct {
	zones map[string]*zone
	// version counts the changes of any state.
	version int
	// restoredUntil is the time until which the store may lack the operator's requests.
	restoredUntil time.Duration
}

// zone is the state of one zone and, if the end of its drain is pending, the time at which it ends.
type zone struct {
	state      State
	endPending bool
	endsAt     time.Duration
}

// New returns a set without drains.
func New() *Drains { return &Drains{zones: make(map[string]*zone)} }

// Version rises with each change of a state.
func (d *Drains) Version() int { return d.version }

// Get returns the state of a zone.
func (d *Drains) Get(name string) State {
	if z := d.zones[name]; z != nil {
		return z.state
	}
	return State{}
}

// States returns a copy of all states.
func (d *Drains) States() States {
	states := make(States, len(d.zones))
	for name, z := range d.zones {
		states[name] = z.state
	}
	return states
}

// Drained returns the names of the drained zones in order.
func (d *Drains) Drained() []string {
	var names []string
	for name, z := range d.zones {
		if z.state.Drained {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Start records that a zone is to be drained, and reports whether that is new. The request was made since a point in time at
// which it was known not to exist; it may have been learned late. A request that is repeated does not start the drain anew.
func (d *Drains) Start(since time.Duration, name string) bool {
	z := d.zones[name]
	if z == nil {
		z = &zone{}
		d.zones[name] = z
	}
	z.endPending = false
	if z.state.Drained {
		return false
	}
	z.state.Drained, z.state.Since = true, since
	d.version++
	return true
}

// End records that the store has no request to drain a zone any more, and reports whether the drain ends. Shortly after a
// restore of the store the end is delayed, because the copy may only lack the request.
func (d *Drains) End(now time.Duration, name string) bool {
	z := d.zones[name]
	if z == nil || !z.state.Drained {
		return false
	}
	if now < d.restoredUntil {
		z.endPending, z.endsAt = true, d.restoredUntil
		return false
	}
	z.end(now)
	d.version++
	return true
}

func (z *zone) end(now time.Duration) {
	z.state = State{ReturnedAt: now}
	z.endPending = false
}

// Replace sets the requests to a complete listing of the store. It returns the zones whose drain starts and ends.
func (d *Drains) Replace(now, since time.Duration, names []string) (started, ended []string) {
	for _, name := range names {
		if d.Start(since, name) {
			started = append(started, name)
		}
	}
	for _, name := range d.Drained() {
		if !slices.Contains(names, name) && d.End(now, name) {
			ended = append(ended, name)
		}
	}
	return started, ended
}

// RecordRestore records that the store came back from an earlier copy.
func (d *Drains) RecordRestore(now time.Duration) { d.restoredUntil = now + restoredGrace }

// Expire ends the drains whose delayed end is due, and returns their zones in order.
func (d *Drains) Expire(now time.Duration) []string {
	var ended []string
	for _, name := range slices.Sorted(maps.Keys(d.zones)) {
		if z := d.zones[name]; z.endPending && now >= z.endsAt {
			z.end(now)
			d.version++
			ended = append(ended, name)
		}
	}
	return ended
}
