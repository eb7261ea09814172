package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fairqueue"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// ticketState is the place of a request on its way through the dispatcher.
type ticketState int

const (
	// ticketQueued waits in the fair queue.
	ticketQueued ticketState = iota
	// ticketHeld waits until its scope may be dispatched.
	ticketHeld
	// ticketStarted has a slot.
	ticketStarted
	// ticketRefused ended before it got a slot.
	ticketRefused
)

// ticket is one request in the dispatcher. The dispatcher's mu protects state, problem and scope.
type ticket struct {
	entry    fairqueue.Entry[*ticket]
	req      *backend.Request
	scope    *scopeState
	identity *identityEntry
	state    ticketState
	// ready is closed when the ticket is started or refused. It is nil for a ticket that never waited.
	ready   chan struct{}
	problem *outcome.Problem
	arrival uint64
	started time.Time
	// sent is the request as the backend server gets it.
	sent backend.Request
}

func newTicket(req *backend.Request) *ticket {
	t := &ticket{req: req}
	t.entry.Subscriber = req.Subscriber
	t.entry.Value = t
	return t
}
