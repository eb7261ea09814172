// Package serverstate combines what a gateway knows of one incarnation of a backend server: its entry in the store, what it
// says of itself in its responses, and how its requests end. It performs no I/O and has no clock of its own.
package serverstate

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
	"github.com/sapphireplank/sapphireplank/internal/zones"
)

// DrainMargin is how long before the end of a drain period a draining server receives its last request.
const DrainMargin = 400 * time.Millisecond

// Periods are how long servers that are to receive no new requests still receive those for keys that they own.
type Periods struct {
	// Drain applies to a server that leaves, ZoneDrain to one whose availability zone the operator drains.
	Drain, ZoneDrain time.Duration
}

// State is what a gateway knows of one incarnation of a backend server.
type State struct {
	// Failures are the statistics of the requests that the server failed or did not answer.
	Failures suspicion.Tracker
	// replaced is set once a different server has answered at the address.
	replaced bool
	// registered is the entry in the store.
	registered directory.RegisteredServer
	// zone is the state of the availability zone of the server.
	zone zones.State
	// slowStart is how long the server starts slowly after the drain of its zone was taken back.
	slowStart time.Duration
	notice    Notice
	// position is the place of this gateway among those that come back to the server after a hold-off, from 0 to 1.
	position float64
}

// New returns the state of a server of which nothing is known. position is the place of this gateway among those that come
// back to the server after a hold-off, from 0 to 1.
func New(position float64) State { return State{position: position} }

// Register sets the entry of the server.
func (s *State) Register(registered directory.RegisteredServer) { s.registered = registered }

// SetZone sets the state of the server's availability zone.
func (s *State) SetZone(zone zones.State) { s.zone = zone }

// ZoneDrained reports whether the operator drains the server's availability zone.
func (s *State) ZoneDrained() bool { return s.zone.Drained }

// MarkReplaced records that a different server answered at the address, which means that this one has ended.
func (s *State) MarkReplaced() { s.replaced = true }

// Notice returns what the server said of itself.
func (s *State) Notice() Notice { return s.notice }

// Restore sets what the server said of itself before it was known as registered.
func (s *State) Restore(notice Notice) { s.notice = notice }

// Observe records what the server says in a response that arrived now, to a request that was sent at a time. spread is the
// time over which the gateways come back after a hold-off. It returns what is new.
func (s *State) Observe(statement Statement, sentAt, now, spread time.Duration) Learned {
	return s.notice.observe(statement, sentAt, now, spread, s.position)
}

// Admits reports whether a server with this many slots may receive a further request from this gateway, which has own ones
// there, after it has held requests off.
func (s *State) Admits(own, slots int, now time.Duration) bool {
	limit, limited := s.notice.HoldOff.Limit(now, slots)
	return !limited || own < limit
}

// HeldOffFor returns how long the server wants no requests from this gateway.
func (s *State) HeldOffFor(now time.Duration) time.Duration { return s.notice.HoldOff.Left(now) }

// Availability states which requests a server may receive.
type Availability int

// In order of precedence: a server that is in several of these states is in the first one that applies.
const (
	// Gone: it has ended, has left, or its zone is drained. It receives no requests.
	Gone Availability = iota
	// Draining: it leaves, or its zone is being drained. It receives requests for keys that it owns, and no others.
	Draining
	// HeldOff: it wants no requests for some time.
	HeldOff
	// Suspended: it does not respond. It receives requests only if most others do not respond either.
	Suspended
	// Available: it receives requests.
	Available
)

// Availability returns which requests the server may receive.
//
// What the server says of itself counts as much as its entry: the earlier of the two starts the drain, and neither ends what
// the other has started. A drain of its zone is independent of both, and can be taken back.
func (s *State) Availability(now time.Duration, periods Periods) Availability {
	since, draining := s.drainingSince()
	switch {
	case s.replaced, draining && now-since > periods.Drain-DrainMargin:
		return Gone
	case s.zone.Drained && now-s.zone.Since > periods.ZoneDrain-DrainMargin:
		return Gone
	case draining, s.zone.Drained:
		return Draining
	case s.notice.HoldOff.Active(now):
		return HeldOff
	case s.Failures.Suspended(now):
		return Suspended
	}
	return Available
}

// Leaves reports whether the server leaves, or has left.
func (s *State) Leaves() bool {
	_, draining := s.drainingSince()
	return draining
}

// drainingSince returns since when the server leaves, and whether it does.
func (s *State) drainingSince() (time.Duration, bool) {
	registered := s.registered
	if s.notice.Leaving {
		registered.MarkLeaving(s.notice.LeavingSince)
	}
	return registered.DrainingSince, registered.Draining
}

// SetSlowStart sets how long the server starts slowly if its entry does not tell.
func (s *State) SetSlowStart(period time.Duration) { s.slowStart = period }

// WarmingUp reports whether the server has less capacity than later. A server whose zone was taken back counts as started
// then: its next entry tells only later whether it is.
func (s *State) WarmingUp(now time.Duration) bool {
	return now < s.registered.WarmupUntil || s.zone.ReturnedAt > 0 && now < s.zone.ReturnedAt+s.slowStart
}
