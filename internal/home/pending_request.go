package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fairqueue"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// requestState is the state of a request in the dispatcher.
type requestState int

const (
	// requestQueued means that the request waits in the fair queue.
	requestQueued requestState = iota
	// requestHeld means that the request waits until its scope may be dispatched.
	requestHeld
	// requestStarted means that the request has a slot.
	requestStarted
	// requestRefused means that the request ended without a slot.
	requestRefused
)

// pendingRequest is one request in the dispatcher. The dispatcher's mu protects state, problem and scope.
type pendingRequest struct {
	entry    fairqueue.Entry[*pendingRequest]
	req      *backend.Request
	scope    *scopeState
	identity *identityEntry
	state    requestState
	// ready is closed when the request is started or refused. It is nil if the request did not wait.
	ready      chan struct{}
	problem    *outcome.Problem
	arrivalSeq uint64
	started    time.Time
	// outgoing is the request that the backend server receives.
	outgoing backend.Request
}

func newPendingRequest(req *backend.Request) *pendingRequest {
	p := &pendingRequest{req: req}
	p.entry.Subscriber = req.Subscriber
	p.entry.Value = p
	return p
}
