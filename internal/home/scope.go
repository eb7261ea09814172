package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// scopeState is what the dispatcher knows of one owned scope. The dispatcher's mu protects it.
type scopeState struct {
	scope     backend.Scope
	token     fence.Token
	releasing bool
	released  bool
	// gone is true once the assignment does not have the scope any more.
	gone bool
	// latched is true from the time at which the server was judged down until the scope has another token. The
	// report of that time tells the holder when the last grant ends, so no later one may follow under the old token.
	latched bool
	// since is the begin of the record of request identities for the scope.
	since time.Time
	// inProgress counts the requests at the backend server.
	inProgress int
	// busyUntil is the time until which requests with an unknown outcome can still execute.
	busyUntil time.Time
	// granted is true if the server acknowledged the grant with the current token.
	granted bool
	// grantEnd is the greatest expiry of a grant that was sent, whether or not it was acknowledged.
	grantEnd time.Time
	// withdrawn is true once the server acknowledged that it has no grant.
	withdrawn bool
	// requests counts the dispatched requests since the last report.
	requests uint64
	// slotTime sums the slot time since the last report.
	slotTime time.Duration
	// waiting holds the requests of the scope that wait for a slot or are held back.
	waiting map[*ticket]struct{}
	// place is the place among the owned scopes.
	place int
	// mark is the number of the last assignment that had the scope.
	mark uint64
}

func newScopeState(scope backend.Scope, since time.Time) *scopeState {
	return &scopeState{scope: scope, since: since, waiting: make(map[*ticket]struct{})}
}

// idle reports whether no request of the scope can execute any more.
func (s *scopeState) idle(now time.Time) bool {
	return s.inProgress == 0 && !now.Before(s.busyUntil)
}

// ungranted reports whether the server has no grant for the scope.
func (s *scopeState) ungranted(now time.Time) bool {
	return s.withdrawn || now.After(s.grantEnd.Add(MaxClockSkew))
}

// wantsGrant reports whether the scope belongs to the set of grants.
func (s *scopeState) wantsGrant(now time.Time) bool {
	return !s.gone && !s.latched && (!s.releasing || !s.idle(now))
}

// held reports whether requests of the scope must wait.
func (s *scopeState) held() bool { return s.releasing || s.latched || !s.granted }
