package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

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
	nextPlan time.Duration
	// lives are the candidates of the last plan.
	lives []ownership.Holder
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
		for _, order := range a.assigner.Step(now) {
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
	now := c.bootNow()
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
		a.assigner = ownership.TakeOver(c.Ownership, table, now)
		a.revision = item.Revision
		log.WithField("rows", len(table.Rows)).Info("ownership taken over")
	}
}

// plan moves keys where that is necessary or worth it.
func (c *Controller) plan(service string, a *assignment, now time.Duration) {
	candidates := c.candidates(service)
	lives := holders(candidates)
	changed := !slices.Equal(lives, a.lives)
	if now < a.nextPlan && (!changed || a.lives == nil) {
		return
	}
	if !c.election.Confirmed(now) || a.writing {
		return
	}
	a.nextPlan = now + planEvery
	a.lives = lives
	meter := c.meter(service)
	meter.Advance(c.Clock())
	table, _ := a.assigner.Table(now)
	moves := a.planner.Plan(table.Rows, candidates, meter, now)
	moved, all := a.assigner.Apply(moves, now)
	if !all {
		a.nextPlan = now
	}
	a.assigner.Refresh(rowsPerServer * len(candidates))
	if moved > 0 {
		c.Log.WithFields(logrus.Fields{
			"service": service, "moves": len(moves), "keys": moved, "servers": len(candidates),
		}).Info("keys move")
	}
}

// candidates returns the backend servers of a service that may own keys, sorted by ID.
func (c *Controller) candidates(service string) []ownership.Candidate {
	var candidates []ownership.Candidate
	works := c.hub.Works()
	for _, known := range c.directory.Servers() {
		if known.Service != service || known.Draining {
			continue
		}
		capacity := float64(known.Slots) / c.runTime(works, known).Seconds()
		if c.Clock() < known.ColdUntil {
			capacity *= coldCapacity
		}
		candidates = append(candidates, ownership.Candidate{Holder: holder(known.Server), Capacity: capacity})
	}
	slices.SortFunc(candidates, func(a, b ownership.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

// runTime returns how long requests run at a backend server. A server without measurements is taken as average.
func (c *Controller) runTime(works map[uint32]relay.Work, known directory.Known) time.Duration {
	work := works[relay.ServerHash(known.Incarnation())]
	if work.Measurements >= fewMeasurements && work.Mean > 0 {
		return work.Mean
	}
	total, count := time.Duration(0), time.Duration(0)
	for _, other := range c.directory.Servers() {
		if work := works[relay.ServerHash(other.Incarnation())]; other.Service == known.Service && work.Mean > 0 {
			total += work.Mean
			count++
		}
	}
	if count == 0 {
		return unknownRunTime
	}
	return total / count
}

func holders(candidates []ownership.Candidate) []ownership.Holder {
	list := make([]ownership.Holder, 0, len(candidates))
	for _, candidate := range candidates {
		list = append(list, candidate.Holder)
	}
	return list
}

// record writes the table if it has changed.
func (c *Controller) record(ctx context.Context, service string, a *assignment, now time.Duration) {
	if a.writing || !a.assigner.Unrecorded() || !c.election.Confirmed(now) {
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
