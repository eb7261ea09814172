package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

// Ticket is the right to send one request to a backend server. It is given back with its outcome.
type Ticket struct {
	// Server is the backend server.
	Server directory.Server
	// Token is the token with which the server owns the key of the request.
	Token ownership.Token
	// Pool has the connections to the server.
	Pool *serverconn.Pool
	// Own and Others are the requests of this gateway and, as far as it knows, of others at the server when the
	// request was placed. OthersAge is how old that knowledge was.
	Own       int
	Others    float64
	OthersAge time.Duration
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
	// Gone is true if another server has answered at the address: the one that was meant has ended.
	Gone bool
	// Ran is true if the time of the answer tells how long requests run.
	Ran bool
}

// ticket counts a request at a server.
func (d *Dispatcher) ticket(s *service, c choice, now time.Duration) *Ticket {
	state := c.server.state(now, c.work, s.meanOthers())
	wait := state.Wait()
	c.server.own++
	othersAt := max(c.server.fleetAt, c.server.others.At())
	return &Ticket{
		Server: c.server.known.Server,
		Token:  c.token,
		Pool:   c.server.pool,
		Own:    state.Own,
		Others: state.Others,

		OthersAge: now - othersAt,
		Expected:  state.Distance + wait + c.work,
		server:    c.server,
		service:   s,
		sentAt:    now,
		waited:    float64(wait) / float64(max(1, c.work)),
	}
}

// Done gives a ticket back.
func (d *Dispatcher) Done(t *Ticket, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	d.finish(t)
	t.server.record.Note(result.Outcome, now)
	t.server.gone = t.server.gone || result.Gone
	if result.HasLoad {
		t.server.others.Report(result.Load.Running+result.Load.Waiting, t.server.own, now)
	}
	if result.Ran && now >= t.server.known.ColdUntil {
		t.server.work.Measure(now-t.sentAt, t.waited)
		t.service.work.Measure(now-t.sentAt, t.waited)
	}
	d.pump()
}

// finish takes a request off its server's count.
func (d *Dispatcher) finish(t *Ticket) {
	if !t.done {
		t.done = true
		t.server.own--
	}
}
