package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// scopeState is the state of one owned scope. The dispatcher's mu protects it.
type scopeState struct {
	scope     backend.Scope
	token     fence.Token
	releasing bool
	released  bool
	// removed is true once the scope is no longer assigned.
	removed bool
	// needsNewToken is true from the time when the server was judged down until the scope has a new token. The report
	// of that time tells the holder when the last grant expires, so no later grant may follow under the old token.
	needsNewToken bool
	// recordedSince is the time since which request identities are recorded for the scope.
	recordedSince time.Time
	// inProgress is the number of requests in execution on the backend server.
	inProgress int
	// mayExecuteUntil is the time until which abandoned requests may still be in execution.
	mayExecuteUntil time.Time
	// granted is true if the server acknowledged the grant with the current token.
	granted bool
	// grantExpiry is the latest expiry of a grant that was sent, whether or not it was acknowledged.
	grantExpiry time.Time
	// withdrawn is true once the server acknowledged the withdrawal of the grant.
	withdrawn bool
	// requests is the number of requests that were sent since the last report with loads.
	requests uint64
	// slotTime is the total slot time since the last report with loads.
	slotTime time.Duration
	// waiting holds the requests of the scope that are queued or held.
	waiting map[*pendingRequest]struct{}
	// index is the index in Dispatcher.ownedScopes.
	index int
	// assignmentSeq is the number of the last assignment that contained the scope.
	assignmentSeq uint64
}

func newScopeState(scope backend.Scope, since time.Time) *scopeState {
	return &scopeState{scope: scope, recordedSince: since, waiting: make(map[*pendingRequest]struct{})}
}

// idle reports whether no request of the scope can be in execution any more.
func (s *scopeState) idle(now time.Time) bool {
	return s.inProgress == 0 && !now.Before(s.mayExecuteUntil)
}

// grantEnded reports whether the server holds no grant for the scope.
func (s *scopeState) grantEnded(now time.Time) bool {
	return s.withdrawn || now.After(s.grantExpiry.Add(MaxClockSkew))
}

// needsGrant reports whether the scope belongs to the set of grants.
func (s *scopeState) needsGrant(now time.Time) bool {
	return !s.removed && !s.needsNewToken && (!s.releasing || !s.idle(now))
}

// held reports whether requests of the scope must wait.
func (s *scopeState) held() bool { return s.releasing || s.needsNewToken || !s.granted }
