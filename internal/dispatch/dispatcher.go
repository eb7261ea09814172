package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admission"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// pumpEvery is how often waiting requests are looked at while nothing else happens: estimates of the load of
// others change with time.
const pumpEvery = 10 * time.Millisecond

// Dispatcher is the traffic state of one gateway. It is safe for concurrent use.
type Dispatcher struct {
	zone  string
	drain time.Duration
	clock func() time.Duration
	dial  func(addr string) *serverconn.Pool

	// mu protects the fields below.
	mu       sync.Mutex
	services map[string]*service
	servers  map[directory.Incarnation]*server
	pumping  bool
}

// New returns a dispatcher without backend servers. drain is how long a backend server that is about to leave takes
// requests for keys that it still owns. dial makes the connections to a backend server.
func New(zone string, drain time.Duration, clock func() time.Duration, dial func(addr string) *serverconn.Pool) *Dispatcher {
	return &Dispatcher{
		zone:     zone,
		drain:    drain,
		clock:    clock,
		dial:     dial,
		services: make(map[string]*service),
		servers:  make(map[directory.Incarnation]*server),
	}
}

// SetDrain changes how long a backend server that is about to leave takes requests.
func (d *Dispatcher) SetDrain(drain time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drain = drain
	for _, s := range d.services {
		s.drain = drain
	}
}

// waiter is a request that waits for room.
type waiter struct {
	demand *AcquireRequest
	result chan waitResult
}

type waitResult struct {
	ticket *Reservation
	err    error
}

// Update takes a new view of services and backend servers. Views share the list of servers of a service while it stays
// the same; it is looked at only when it is another one.
func (d *Dispatcher) Update(view *snapshot.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for name, described := range view.Services {
		s := d.services[name]
		if s == nil {
			s = newService(d.drain)
			d.services[name] = s
		}
		s.sharded = described.Sharded
		s.owners = described.Owners
		if !sameList(s.listed, described.Servers) {
			d.list(s, described.Servers)
			changed = true
		}
		s.forgetMoves()
	}
	for name, s := range d.services {
		if view.Services[name] == nil && (s.owners != nil || len(s.listed) > 0) {
			s.owners = nil
			d.list(s, nil)
			changed = true
		}
	}
	if changed {
		d.forgetServers()
	}
	d.pump()
}

// sameList reports whether two lists are one and the same.
func sameList(a, b []directory.RegisteredServer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// list takes the servers of a service.
func (d *Dispatcher) list(s *service, listed []directory.RegisteredServer) {
	s.listed = listed
	s.servers = s.servers[:0]
	clear(s.byLife)
	for _, known := range listed {
		server := d.server(known)
		s.servers = append(s.servers, server)
		s.byLife[known.Incarnation()] = server
	}
}

// forgetServers drops the servers that no service lists any more.
func (d *Dispatcher) forgetServers() {
	for life, server := range d.servers {
		s := d.services[server.known.Service]
		if s == nil || s.byLife[life] != server {
			server.pool.Close()
			delete(d.servers, life)
		}
	}
}

func (d *Dispatcher) server(known directory.RegisteredServer) *server {
	s := d.servers[known.Incarnation()]
	if s == nil {
		s = &server{pool: d.dial(known.Addr), local: known.Zone == d.zone, hash: relay.ServerHash(known.Incarnation())}
		d.servers[known.Incarnation()] = s
	}
	s.known = known
	return s
}

// forgetMoves drops the times of moves that are over.
func (s *service) forgetMoves() {
	if len(s.movingSince) == 0 {
		return
	}
	moving := make(map[ownership.Token]bool)
	if s.owners != nil {
		for _, row := range s.owners.Rows {
			moving[row.Token] = row.Moving
		}
	}
	for token := range s.movingSince {
		if !moving[token] {
			delete(s.movingSince, token)
		}
	}
}

// Acquire returns a backend server for a request, as soon as there is one. The error is a *Refusal.
func (d *Dispatcher) Acquire(ctx context.Context, demand *AcquireRequest) (*Reservation, error) {
	w, ticket, err := d.enter(demand)
	if w == nil {
		return ticket, err
	}
	select {
	case result := <-w.result:
		return result.ticket, result.err
	case <-ctx.Done():
		return d.abandon(w)
	}
}

// enter places a request, refuses it, or lets it wait.
func (d *Dispatcher) enter(demand *AcquireRequest) (*waiter, *Reservation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	s := d.services[demand.Service]
	if s == nil {
		return nil, nil, &Refusal{Reason: ReasonNoServer, Wait: longMove}
	}
	ahead := s.ahead(demand, now)
	c := s.choose(demand, now, ahead)
	if c.server != nil && ahead == 0 {
		return nil, d.ticket(s, c, now), nil
	}
	if !admission.ShouldQueue(demand.Request, now, c.wait, c.work) {
		return nil, nil, &Refusal{Reason: c.reason, Wait: c.wait}
	}
	w := &waiter{demand: demand, result: make(chan waitResult, 1)}
	s.waiting = append(s.waiting, w)
	d.startPump()
	return w, nil, nil
}

// ahead counts the waiting requests that go first.
func (s *service) ahead(demand *AcquireRequest, now time.Duration) int {
	count := 0
	work := s.meanWork(demand)
	for _, w := range s.waiting {
		if s.sameOwner(w.demand, demand) && admission.Before(w.demand.Request, demand.Request, now, work) {
			count++
		}
	}
	return count
}

// abandon takes back a request whose caller has left.
func (d *Dispatcher) abandon(w *waiter) (*Reservation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case result := <-w.result:
		if result.ticket != nil {
			d.finish(result.ticket)
		}
	default:
		s := d.services[w.demand.Service]
		s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == w })
	}
	return nil, &Refusal{Reason: ReasonCallerLeft}
}

// startPump looks at waiting requests from time to time while there are any.
func (d *Dispatcher) startPump() {
	if d.pumping {
		return
	}
	d.pumping = true
	time.AfterFunc(pumpEvery, d.pumpAgain)
}

func (d *Dispatcher) pumpAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pumping = false
	d.pump()
}

// pump places the waiting requests that have room now.
func (d *Dispatcher) pump() {
	now := d.clock()
	left := 0
	for _, s := range d.services {
		if len(s.waiting) > 0 {
			s.waiting = d.pumpService(s, now)
			left += len(s.waiting)
		}
	}
	if left > 0 {
		d.startPump()
	}
}

// pumpService returns the requests that go on waiting.
func (d *Dispatcher) pumpService(s *service, now time.Duration) []*waiter {
	work := s.meanWork(s.waiting[0].demand)
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int {
		switch {
		case admission.Before(a.demand.Request, b.demand.Request, now, work):
			return -1
		case admission.Before(b.demand.Request, a.demand.Request, now, work):
			return 1
		}
		return 0
	})
	full := make(fullChoices)
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		c := full.choose(s, w.demand, now)
		switch {
		case c.server != nil:
			w.result <- waitResult{ticket: d.ticket(s, c, now)}
		case admission.CannotMeetDeadline(w.demand.Request, now, c.work) || !admission.ShouldQueue(w.demand.Request, now, c.wait, c.work):
			w.result <- waitResult{err: &Refusal{Reason: c.reason, Wait: c.wait}}
		default:
			kept = append(kept, w)
		}
	}
	clear(s.waiting[len(kept):])
	return kept
}
