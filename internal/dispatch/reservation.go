package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

// Reservation is the permission to send one request to a backend server. It must be passed to Done with the
// result of the request.
type Reservation struct {
	Server directory.Server
	// Token is the fencing token under which the server owns the key of the request.
	Token ownership.Token
	// Pool holds the connections to the server.
	Pool *serverconn.Pool
	// OwnRequests and PeerRequests are the numbers of requests at the server when this one was placed, from this gateway
	// and, as an estimate, from other gateways. PeerRequestsAge is the age of the data behind the estimate.
	OwnRequests     int
	PeerRequests    float64
	PeerRequestsAge time.Duration
	// Expected is the expected time until the response.
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
	// Responded is true if the server responded. RateLimit is the limit that it named; it is valid only if HasRateLimit
	// is set.
	Responded    bool
	RateLimit    float64
	HasRateLimit bool
	// Statement is what the server said of itself in a response that is proven to be its own.
	Statement serverstate.Statement
	// NotSent is true if no byte of the request was sent.
	NotSent bool
	// ServerReplaced is true if a different server answered at the address, which means that the intended one has
	// terminated.
	ServerReplaced bool
	// RunTimeValid is true if the response time is a valid measurement of the run time.
	RunTimeValid bool
}

// reserve counts a request at the chosen server and returns the reservation.
func (d *Dispatcher) reserve(s *service, c choice, now time.Duration) *Reservation {
	wait := c.state.Wait()
	c.server.ownRequests++
	if c.server.limits.limited() {
		c.server.limits.take(now, d.gateways)
		d.metrics.CountLimitedSend()
	}
	peerRequestsAt := max(c.server.peerRequestsAt, c.server.peerLoad.ReportedAt())
	return &Reservation{
		Server:       c.server.registered.Server,
		Token:        c.token,
		Pool:         c.server.pool,
		OwnRequests:  c.state.OwnRequests,
		PeerRequests: c.state.PeerRequests,

		PeerRequestsAge: now - peerRequestsAt,
		Expected:        c.state.NetworkCost + wait + c.runTime,
		server:          c.server,
		service:         s,
		sentAt:          now,
		relativeWait:    float64(wait) / float64(max(1, c.runTime)),
	}
}

// Done ends a reservation and records the result of its request.
func (d *Dispatcher) Done(r *Reservation, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	d.releaseSlot(r)
	r.server.known.Failures.Observe(result.Outcome, now)
	if result.ServerReplaced {
		r.server.known.MarkReplaced()
	}
	if result.HasLoad {
		r.server.peerLoad.Report(result.Load.Running+result.Load.Queued, r.server.ownRequests, now)
		if result.Load.RunTimeFactor > 0 {
			r.server.slowdown.Report(result.Load.RunTimeFactor, now)
		}
	}
	if result.NotSent {
		r.server.limits.giveBack()
	}
	if result.Responded {
		d.observeLimit(r.server, quota.FromResponse(result.RateLimit, result.HasRateLimit, r.sentAt, now))
	}
	d.observeStatement(r, result.Statement, now)
	if result.RunTimeValid && !r.server.known.WarmingUp(now) {
		r.server.runTime.Observe(now-r.sentAt, r.relativeWait)
		r.service.runTime.Observe(now-r.sentAt, r.relativeWait)
	}
	d.placeQueued()
}

// releaseSlot removes a request from the count of its server. Calling it again has no effect.
func (d *Dispatcher) releaseSlot(r *Reservation) {
	if !r.released {
		r.released = true
		r.server.ownRequests--
	}
}
