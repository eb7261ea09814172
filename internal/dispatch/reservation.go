package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

// Reservation is the permission to send one request to a backend server. It must be returned with the result of the
// request.
type Reservation struct {
	Server directory.Server
	// Token is the fencing token under which the server owns the key of the request.
	Token ownership.Token
	// Pool holds the connections to the server.
	Pool *serverconn.Pool
	// OwnRequests and Others are the numbers of requests at the server when this one was placed, from this gateway and, as
	// an estimate, from other gateways. OthersAge is the age of the data behind the estimate.
	OwnRequests     int
	PeerRequests    float64
	PeerRequestsAge time.Duration
	// Expected is the expected time until the answer.
	Expected time.Duration

	server  *server
	service *service
	sentAt  time.Duration
	// relativeWait is the expected queueing time at the server, in units of the run time.
	relativeWait float64
	released     bool
}

// Result is the result of a request.
type Result struct {
	Outcome suspicion.Outcome
	// Load is the load that the server reported. It is valid only if HasLoad is set.
	Load    exchange.Load
	HasLoad bool
	// ServerReplaced is true if a different server answered at the address, which means that the intended one has
	// terminated.
	ServerReplaced bool
	// RunTimeValid is true if the response time is a valid measurement of the run time.
	RunTimeValid bool
}

// reserve counts a request at the chosen server and returns its ticket.
func (d *Dispatcher) reserve(s *service, c choice, now time.Duration) *Reservation {
	state := c.server.state(now, c.runTime, s.meanPeerRequests())
	wait := state.Wait()
	c.server.ownRequests++
	peerRequestsAt := max(c.server.peerRequestsAt, c.server.peerLoad.ReportedAt())
	return &Reservation{
		Server:       c.server.known.Server,
		Token:        c.token,
		Pool:         c.server.pool,
		OwnRequests:  state.OwnRequests,
		PeerRequests: state.PeerRequests,

		PeerRequestsAge: now - peerRequestsAt,
		Expected:        state.NetworkCost + wait + c.runTime,
		server:          c.server,
		service:         s,
		sentAt:          now,
		relativeWait:    float64(wait) / float64(max(1, c.runTime)),
	}
}

// Done returns a ticket with the result of its request.
func (d *Dispatcher) Done(t *Reservation, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	d.releaseSlot(t)
	t.server.failures.Observe(result.Outcome, now)
	t.server.replaced = t.server.replaced || result.ServerReplaced
	if result.HasLoad {
		t.server.peerLoad.Report(result.Load.Running+result.Load.Queued, t.server.ownRequests, now)
	}
	if result.RunTimeValid && now >= t.server.known.WarmupUntil {
		t.server.runTime.Observe(now-t.sentAt, t.relativeWait)
		t.service.runTime.Observe(now-t.sentAt, t.relativeWait)
	}
	d.placeQueued()
}

// releaseSlot removes a request from the count of its server. Calling it again has no effect.
func (d *Dispatcher) releaseSlot(t *Reservation) {
	if !t.released {
		t.released = true
		t.server.ownRequests--
	}
}
