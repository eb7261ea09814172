package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

// Reservation is the right to send one request to a backend server. It is given back with its outcome.
type Reservation struct {
	// Server is the backend server.
	Server directory.Server
	// Token is the token with which the server owns the key of the request.
	Token ownership.Token
	// Pool has the connections to the server.
	Pool *serverconn.Pool
	// OwnRequests and Others are the requests of this gateway and, as far as it knows, of others at the server when the
	// request was placed. OthersAge is how old that knowledge was.
	OwnRequests     int
	PeerRequests    float64
	PeerRequestsAge time.Duration
	// Expected is how long the answer is expected to take.
	Expected time.Duration

	server  *server
	service *service
	sentAt  time.Duration
	// waited is the expected wait at the server, in units of the run time.
	waited float64
	done   bool
}

// Result is how a request ended.
type Result struct {
	Outcome suspicion.Outcome
	// Load is the load that the server reported, if HasLoad.
	Load    exchange.Load
	HasLoad bool
	// ServerReplaced is true if another server has answered at the address: the one that was meant has ended.
	ServerReplaced bool
	// RunTimeValid is true if the time of the answer tells how long requests run.
	RunTimeValid bool
}

// ticket counts a request at a server.
func (d *Dispatcher) ticket(s *service, c choice, now time.Duration) *Reservation {
	state := c.server.state(now, c.work, s.meanOthers())
	wait := state.Wait()
	c.server.own++
	othersAt := max(c.server.fleetAt, c.server.others.ReportedAt())
	return &Reservation{
		Server:       c.server.known.Server,
		Token:        c.token,
		Pool:         c.server.pool,
		OwnRequests:  state.OwnRequests,
		PeerRequests: state.PeerRequests,

		PeerRequestsAge: now - othersAt,
		Expected:        state.NetworkCost + wait + c.work,
		server:          c.server,
		service:         s,
		sentAt:          now,
		waited:          float64(wait) / float64(max(1, c.work)),
	}
}

// Done gives a ticket back.
func (d *Dispatcher) Done(t *Reservation, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	d.finish(t)
	t.server.record.Observe(result.Outcome, now)
	t.server.gone = t.server.gone || result.ServerReplaced
	if result.HasLoad {
		t.server.others.Report(result.Load.Running+result.Load.Queued, t.server.own, now)
	}
	if result.RunTimeValid && now >= t.server.known.WarmupUntil {
		t.server.work.Observe(now-t.sentAt, t.waited)
		t.service.work.Observe(now-t.sentAt, t.waited)
	}
	d.pump()
}

// finish takes a request off its server's count.
func (d *Dispatcher) finish(t *Reservation) {
	if !t.done {
		t.done = true
		t.server.own--
	}
}
