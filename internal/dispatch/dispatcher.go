package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/admission"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// queueCheckInterval is how often queued requests are re-evaluated in the absence of other events, because the
// estimated load from other gateways changes over time.
const queueCheckInterval = 10 * time.Millisecond

// Options are the settings and dependencies of a Dispatcher.
type Options struct {
	Zone string
	// Periods are how long draining backend servers still receive requests for keys that they own.
	Periods serverstate.Periods
	// SlowStart bounds the requests of all gateways to a backend server that has just started.
	SlowStart quota.SlowStart
	// Clock returns the time since the start of the process.
	Clock func() time.Duration
	// NewPool creates the connection pool of a backend server.
	NewPool func(addr string) *serverconn.Pool
	Log     *logrus.Entry
	Metrics *observe.Metrics
}

// Dispatcher places the requests of one gateway on backend servers. It is safe for concurrent use.
type Dispatcher struct {
	zone    string
	clock   func() time.Duration
	newPool func(addr string) *serverconn.Pool
	log     *logrus.Entry
	metrics *observe.Metrics
	// slowStart is that of Options.
	slowStart quota.SlowStart

	// mu protects the fields below.
	mu      sync.Mutex
	periods serverstate.Periods
	// gateways is the number of gateways that share the limits of backend servers.
	gateways int
	// zonesVersion is the version of the zone states that the servers have.
	zonesVersion int
	services     map[string]*service
	servers      map[directory.Incarnation]*server
	// notices are those of servers that are not listed.
	notices             map[directory.Incarnation]keptNotice
	queueCheckScheduled bool
	// stopping is set once the process is about to end, at endsAt.
	stopping bool
	endsAt   time.Duration
}

// New returns a dispatcher without backend servers.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		zone:      options.Zone,
		periods:   options.Periods,
		slowStart: options.SlowStart,
		clock:     options.Clock,
		newPool:   options.NewPool,
		log:       options.Log,
		metrics:   options.Metrics,
		services:  make(map[string]*service),
		servers:   make(map[directory.Incarnation]*server),
		notices:   make(map[directory.Incarnation]keptNotice),
	}
}

// SetPeriods changes how long draining backend servers still receive requests for keys that they own.
func (d *Dispatcher) SetPeriods(periods serverstate.Periods) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.periods = periods
	for _, s := range d.services {
		s.periods = periods
	}
}

// waiter is a queued request.
type waiter struct {
	service *service
	request *AcquireRequest
	result  chan waitResult
}

type waitResult struct {
	reservation *Reservation
	err         error
}

// refuse ends the wait of a request without a server.
func (w *waiter) refuse(reason Reason, wait time.Duration) {
	w.result <- waitResult{err: &Refusal{Reason: reason, Wait: wait}}
}

// Update applies a new snapshot of services and backend servers. Snapshots share the server list of a service
// while it is unchanged, so a list is processed only if it is a different slice.
func (d *Dispatcher) Update(view *snapshot.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	d.gateways = view.Gateways
	for name, current := range view.Services {
		s := d.services[name]
		if s == nil {
			s = newService(d.periods)
			d.services[name] = s
		}
		s.sharded = current.Sharded
		s.owners = current.Owners
		s.gateways = view.Gateways
		changed = changed || s.slowStart != current.SlowStart
		s.slowStart = current.SlowStart
		if !sameSlice(s.serverList, current.Servers) {
			d.setServers(s, current.Servers)
			changed = true
		}
		s.pruneMoves()
	}
	for name, s := range d.services {
		if view.Services[name] == nil && (s.owners != nil || len(s.serverList) > 0) {
			s.owners = nil
			d.setServers(s, nil)
			changed = true
		}
	}
	if changed {
		d.removeUnlistedServers()
	}
	if changed || d.zonesVersion != view.ZonesVersion {
		d.setZones(view)
	}
	d.logSlowStarts()
	d.placeQueued()
	for name, s := range d.services {
		if view.Services[name] == nil && len(s.queue) == 0 {
			delete(d.services, name)
		}
	}
}

// setZones sets the states of the availability zones at the servers.
func (d *Dispatcher) setZones(view *snapshot.Snapshot) {
	d.zonesVersion = view.ZonesVersion
	for _, s := range d.services {
		for _, server := range s.servers {
			server.known.SetZone(view.Zones[server.registered.Zone])
			server.known.SetSlowStart(s.slowStart.Period)
		}
	}
}

// sameSlice reports whether two lists are the same slice; it does not compare elements.
func sameSlice(a, b []directory.RegisteredServer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// setServers replaces the servers of a service.
func (d *Dispatcher) setServers(s *service, servers []directory.RegisteredServer) {
	s.serverList = servers
	s.servers = s.servers[:0]
	clear(s.byIncarnation)
	for _, registered := range servers {
		server := d.serverFor(registered)
		s.servers = append(s.servers, server)
		s.byIncarnation[registered.Incarnation()] = server
	}
}

// removeUnlistedServers closes and removes the servers that no service lists any more.
func (d *Dispatcher) removeUnlistedServers() {
	for incarnation, server := range d.servers {
		s := d.services[server.registered.Service]
		if s == nil || s.byIncarnation[incarnation] != server {
			server.pool.Close()
			d.keepNotice(server, d.clock())
			delete(d.servers, incarnation)
		}
	}
}

// serverFor returns the state of a backend server and creates it if necessary.
func (d *Dispatcher) serverFor(registered directory.RegisteredServer) *server {
	s := d.servers[registered.Incarnation()]
	if s == nil {
		s = &server{
			pool: d.newPool(registered.Addr), sameZone: registered.Zone == d.zone,
			hash: relay.ServerHash(registered.Incarnation()), known: serverstate.New(rand.Float64()), limits: newServerLimits(rand.Float64(), d.slowStart),
		}
		s.known.Restore(d.notices[registered.Incarnation()].notice)
		d.servers[registered.Incarnation()] = s
	}
	s.registered = registered
	s.known.Register(registered)
	return s
}

// pruneMoves removes the start times of moves that have completed.
func (s *service) pruneMoves() {
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

// Acquire assigns a backend server to a request and waits for one if necessary. The error is a *Refusal.
func (d *Dispatcher) Acquire(ctx context.Context, request *AcquireRequest) (*Reservation, error) {
	w, reservation, err := d.placeOrQueue(request)
	if w == nil {
		return reservation, err
	}
	select {
	case result := <-w.result:
		return result.reservation, result.err
	case <-ctx.Done():
		return d.cancelWaiter(w)
	}
}

// placeOrQueue places a request, queues it, or rejects it. It returns a waiter only if the request was queued.
func (d *Dispatcher) placeOrQueue(request *AcquireRequest) (*waiter, *Reservation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	s := d.services[request.Service]
	if s == nil {
		return nil, nil, &Refusal{Reason: ReasonNoServer, Wait: slowMoveWait}
	}
	s.mix.Observe(request.Priority, now)
	ahead := s.countAhead(request, now)
	c := s.choose(request, now, ahead)
	c.countDemand()
	if !d.fitsBeforeStop(c, now) {
		return nil, nil, &Refusal{Reason: ReasonStopping}
	}
	if c.server != nil && ahead == 0 {
		return nil, d.reserve(s, c, now), nil
	}
	if c.final || !admission.ShouldQueue(request.Request, now, c.wait, c.runTime) {
		return nil, nil, &Refusal{Reason: c.reason, Wait: c.wait}
	}
	w := &waiter{service: s, request: request, result: make(chan waitResult, 1)}
	s.queue = append(s.queue, w)
	d.scheduleQueueCheck()
	return w, nil, nil
}

// HasRoom reports whether a request would be placed now.
func (d *Dispatcher) HasRoom(request *AcquireRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[request.Service]
	if s == nil {
		return false
	}
	now := d.clock()
	ahead := s.countAhead(request, now)
	return ahead == 0 && s.choose(request, now, ahead).server != nil
}

// countAhead returns the number of queued requests that are served before the given one.
func (s *service) countAhead(request *AcquireRequest, now time.Duration) int {
	count := 0
	runTime := s.meanRunTime(request)
	for _, w := range s.queue {
		if s.compete(w.request, request) && admission.Before(w.request.Request, request.Request, now, runTime) {
			count++
		}
	}
	return count
}

// cancelWaiter removes a queued request whose client has canceled, and releases its slot if it was placed in the
// meantime.
func (d *Dispatcher) cancelWaiter(w *waiter) (*Reservation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case result := <-w.result:
		if result.reservation != nil {
			result.reservation.server.limits.giveBack()
			d.releaseSlot(result.reservation)
		}
	default:
		w.service.queue = slices.DeleteFunc(w.service.queue, func(other *waiter) bool { return other == w })
	}
	return nil, &Refusal{Reason: ReasonClientLeft}
}

// scheduleQueueCheck schedules the next check of the queued requests unless one is already scheduled.
func (d *Dispatcher) scheduleQueueCheck() {
	if d.queueCheckScheduled {
		return
	}
	d.queueCheckScheduled = true
	time.AfterFunc(queueCheckInterval, d.runQueueCheck)
}

func (d *Dispatcher) runQueueCheck() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queueCheckScheduled = false
	d.placeQueued()
}

// placeQueued places the queued requests for which there is room now.
func (d *Dispatcher) placeQueued() {
	now := d.clock()
	remaining := 0
	for _, s := range d.services {
		if len(s.queue) > 0 {
			s.queue = d.placeServiceQueue(s, now)
			remaining += len(s.queue)
		}
	}
	if remaining > 0 {
		d.scheduleQueueCheck()
	}
}

// sortQueue sorts the queued requests of a service in the order in which they are served.
func (s *service) sortQueue(now time.Duration) {
	runTime := s.meanRunTime(s.queue[0].request)
	slices.SortStableFunc(s.queue, func(a, b *waiter) int {
		switch {
		case admission.Before(a.request.Request, b.request.Request, now, runTime):
			return -1
		case admission.Before(b.request.Request, a.request.Request, now, runTime):
			return 1
		}
		return 0
	})
}

// placeServiceQueue places or rejects queued requests of one service and returns those that remain queued.
func (d *Dispatcher) placeServiceQueue(s *service, now time.Duration) []*waiter {
	s.sortQueue(now)
	noRoom := make(noRoomCache)
	remaining := s.queue[:0]
	for _, w := range s.queue {
		c := noRoom.choose(s, w.request, now)
		switch {
		case !d.fitsBeforeStop(c, now):
			w.refuse(ReasonStopping, 0)
		case c.server != nil:
			w.result <- waitResult{reservation: d.reserve(s, c, now)}
		case c.final || admission.CannotMeetDeadline(w.request.Request, now, c.runTime) ||
			!admission.ShouldQueue(w.request.Request, now, c.wait, c.runTime):
			w.refuse(c.reason, c.wait)
		default:
			remaining = append(remaining, w)
		}
	}
	clear(s.queue[len(remaining):])
	return remaining
}
