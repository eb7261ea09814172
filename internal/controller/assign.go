package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/relay"
)

const (
	// planEvery is the time between two plans while nothing joins or leaves.
	planEvery = 300 * time.Millisecond
	// startSettle is how long the first plan of a service waits for backend servers to register.
	startSettle = 400 * time.Millisecond
	// rowsPerServer is the number of rows per backend server above which neighbouring rows are joined.
	rowsPerServer = 3
	// drainKeep is how long a backend server that drains keeps keys whose release is not certain.
	drainKeep = 1200 * time.Millisecond
	// planRest is the pause after a plan, in units of the time that it took: a slow host must keep time for renewals.
	planRest = 5
	// coldCapacity is the share of its capacity that a server has which has just started.
	coldCapacity = 0.5
	// unknownRunTime is assumed for all servers alike until there are measurements.
	unknownRunTime = 100 * time.Millisecond
	// fewMeasurements is the number of measurements below which a server is taken as average.
	fewMeasurements = 5
)

// assignment is the assigner of one service with what the controller has under way for it.
type assignment struct {
	assigner *ownership.Assigner
	planner  *ownership.Planner
	// revision is that of the recorded table; 0 if there is none.
	revision kv.Revision
	writing  bool
	// recordAfter is when the table may be written again after a failure.
	recordAfter time.Duration
	nextPlan    time.Duration
	// restUntil is when the next plan may be made at the earliest.
	restUntil time.Duration
	// planned is the count of changes of backend servers that the last plan knew; 0 before the first plan.
	planned int
}

// assign does what is due while this gateway is elected.
func (c *Controller) assign(ctx context.Context, now time.Duration) {
	if c.config == nil {
		return
	}
	for name, service := range c.config.Services {
		if !service.Sharded {
			continue
		}
		a := c.assigners[name]
		if a == nil {
			c.takeOver(ctx, name)
			continue
		}
		if a.assigner == nil {
			continue
		}
		c.plan(name, a, now)
		c.record(ctx, name, a, now)
		for _, order := range a.assigner.DueOrders(now) {
			c.sendOrder(ctx, name, order)
		}
	}
}

// takeOver reads the recorded table of a service and goes on from there.
func (c *Controller) takeOver(ctx context.Context, service string) {
	a := &assignment{planner: ownership.NewPlanner(c.Planner)}
	c.assigners[service] = a
	term := c.election.Term()
	go func() {
		item, err := c.Store.Get(ctx, prefixTables+service)
		c.do(func() { c.tookOver(service, a, term, item, err) })
	}()
}

// tookOver takes the recorded table.
func (c *Controller) tookOver(service string, a *assignment, term kv.Revision, item kv.Item, err error) {
	if c.assigners[service] != a || term != c.election.Term() {
		return
	}
	now := boottime.Now()
	log := c.Log.WithFields(logrus.Fields{"service": service, "term": term})
	switch {
	case errors.Is(err, kv.ErrNotFound):
		a.assigner = ownership.NewAssigner(c.Ownership)
		a.nextPlan = now + startSettle
		log.Info("ownership is planned for the first time")
	case err != nil:
		log.WithError(err).Info("ownership table not read; reading it again")
		delete(c.assigners, service)
	default:
		table, err := ownership.DecodeTable(item.Value, c.Ownership.Keys)
		if err != nil {
			log.WithError(err).Error("ownership table cannot be read; the service stays without an assigner")
			return
		}
		a.assigner = ownership.NewAssignerFromTable(c.Ownership, table, now)
		for _, host := range c.server.Hosts() {
			a.assigner.HostStopped(host, now)
		}
		a.revision = item.Revision
		log.WithField("rows", len(table.Rows)).Info("ownership taken over")
	}
}

// plan moves keys where that is necessary or worth it.
func (c *Controller) plan(service string, a *assignment, now time.Duration) {
	if now < a.restUntil || !c.election.LeaseConfirmed(now) || a.writing {
		return
	}
	if now < a.nextPlan && (c.serversChanged == a.planned || a.planned == 0) {
		return
	}
	started := boottime.Now()
	defer func() { a.restUntil = now + planRest*(boottime.Now()-started) }()
	a.nextPlan = now + planEvery
	a.planned = c.serversChanged
	candidates := slices.DeleteFunc(c.candidates(service), func(candidate ownership.Candidate) bool {
		return a.assigner.HasTerminated(candidate.Holder)
	})
	meter := c.meter(service)
	meter.Advance(c.Clock())
	table, _ := a.assigner.Table(now)
	c.keepUnsettled(table)
	moves := a.planner.Plan(table.Rows, candidates, meter)
	moved, all := a.assigner.Apply(moves, now)
	if !all {
		a.nextPlan = now
	}
	a.assigner.RefreshRows(rowsPerServer * len(candidates))
	c.Metrics.CountMovedKeys(moved)
	if moved > 0 {
		c.Log.WithFields(logrus.Fields{
			"service": service, "moves": len(moves), "keys": moved, "servers": len(candidates),
		}).Info("keys move")
	}
}

// keepUnsettled leaves the keys of a backend server that drains with it while their release would not be certain: they
// would have no owner meanwhile. It does so only while the server still takes requests.
func (c *Controller) keepUnsettled(table *ownership.Table) {
	now := c.Clock()
	for i := range table.Rows {
		row := &table.Rows[i]
		if row.Confirmed || row.Moving {
			continue
		}
		known, ok := c.directory.Lookup(row.Owner.ID)
		row.Pinned = ok && known.StartedAtMs == row.Owner.Born && known.Draining && now-known.DrainingSince < drainKeep
	}
}

// candidates returns the backend servers of a service that may own keys, sorted by ID.
func (c *Controller) candidates(service string) []ownership.Candidate {
	var servers []directory.RegisteredServer
	for _, known := range c.directory.Servers() {
		if known.Service == service && !known.Draining {
			servers = append(servers, known)
		}
	}
	slices.SortFunc(servers, func(a, b directory.RegisteredServer) int { return cmp.Compare(a.ID, b.ID) })
	runTimes := c.runTimes(servers)
	candidates := make([]ownership.Candidate, len(servers))
	for i, known := range servers {
		capacity := float64(known.Slots) / runTimes[i].Seconds()
		if c.Clock() < known.WarmupUntil {
			capacity *= coldCapacity
		}
		candidates[i] = ownership.Candidate{Holder: holder(known.Server), Capacity: capacity}
	}
	return candidates
}

// runTimes returns how long requests run at each backend server. A server without measurements is taken as average.
func (c *Controller) runTimes(servers []directory.RegisteredServer) []time.Duration {
	works := c.hub.RunTimes()
	times := make([]time.Duration, len(servers))
	total, count := time.Duration(0), 0
	for i, known := range servers {
		work := works[relay.ServerHash(known.Incarnation())]
		if work.Measurements >= fewMeasurements && work.Mean > 0 {
			times[i] = work.Mean
			total += work.Mean
			count++
		}
	}
	average := unknownRunTime
	if count > 0 {
		average = total / time.Duration(count)
	}
	for i := range times {
		if times[i] == 0 {
			times[i] = average
		}
	}
	return times
}

// record writes the table if it has changed.
func (c *Controller) record(ctx context.Context, service string, a *assignment, now time.Duration) {
	if a.writing || now < a.recordAfter || !a.assigner.HasUnrecordedChanges() || !c.election.LeaseConfirmed(now) {
		return
	}
	table, sequence := a.assigner.Table(now)
	value, err := table.Encode()
	if err != nil {
		c.Log.WithError(err).Error("ownership table not recorded")
		return
	}
	a.writing = true
	c.writeTable(ctx, service, a, value, sequence)
}

// stopAssigning drops the assigners. Whoever is elected next goes on from the recorded tables.
func (c *Controller) stopAssigning() { c.assigners = make(map[string]*assignment) }
