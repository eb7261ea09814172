package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/capacity"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

const (
	// planInterval is the time between two plans while no server joins or leaves.
	planInterval = 300 * time.Millisecond
	// initialPlanDelay delays the first plan of a service, so that backend servers have time to register.
	initialPlanDelay = 400 * time.Millisecond
	// maxRowsPerServer is the number of table rows per backend server above which adjacent rows are merged.
	maxRowsPerServer = 3
	// drainPinTime is how long after the start of its drain a backend server keeps keys whose release could not be
	// confirmed.
	drainPinTime = 1200 * time.Millisecond
	// reloadDelay is the time until an invalid ownership table is read again.
	reloadDelay = 2 * time.Second
	// planPauseFactor is the pause after a plan as a multiple of the time that the plan took, so that a slow host has
	// time left for renewals.
	planPauseFactor = 5
)

// assignment is the assigner of one service with the state of its planning and of its table writes.
type assignment struct {
	assigner *ownership.Assigner
	planner  *ownership.Planner
	// revision is the revision of the recorded table, or zero if there is none.
	revision kv.Revision
	writing  bool
	// continuedFrom is the NextToken of the table of an earlier era from which the assigner continues, or 0. confirmed is
	// set once that is known to be the last table of its history. Until confirmBy, it is not recorded before.
	continuedFrom ownership.Token
	confirmed     bool
	confirmBy     time.Duration
	// reloadAt is when the table is read again, if it could not be decoded. It is 0 while the table is being loaded.
	reloadAt time.Duration
	// recordRetryAt is the earliest time of the next write after a failed one.
	recordRetryAt time.Duration
	nextPlanAt    time.Duration
	// earliestPlanAt is the earliest time of the next plan, even if servers join or leave.
	earliestPlanAt time.Duration
	// plannedServersVersion is the serversVersion that the last plan used, or 0 before the first plan.
	plannedServersVersion int
}

// awaitsConfirmation reports whether the table from which the assigner continues may lack the last moves.
func (a *assignment) awaitsConfirmation() bool { return a.continuedFrom > 0 && !a.confirmed }

// runAssigners plans moves, records tables and sends orders for all sharded services while this gateway is elected.
func (c *Controller) runAssigners(ctx context.Context, now time.Duration) {
	if c.config == nil {
		return
	}
	for name, service := range c.config.Services {
		if !service.Sharded {
			continue
		}
		a := c.assigners[name]
		if a == nil || a.reloadAt > 0 && now >= a.reloadAt {
			if c.election.State() == election.StateLeading {
				c.loadAssigner(ctx, name)
			}
			continue
		}
		if a.assigner == nil {
			continue
		}
		c.planMoves(name, a, now)
		c.recordTable(ctx, name, a, now)
		for _, order := range a.assigner.DueOrders(now) {
			c.sendOrder(ctx, name, order)
		}
	}
}

// loadAssigner reads the recorded table of a service and creates the assigner from it.
func (c *Controller) loadAssigner(ctx context.Context, service string) {
	a := &assignment{planner: ownership.NewPlanner(c.Planner)}
	c.assigners[service] = a
	term := c.election.Term()
	go func() {
		item, err := c.Store.Get(ctx, tableKeyPrefix+service)
		c.enqueue(func() { c.assignerLoaded(service, a, term, item, err) })
	}()
}

// assignerLoaded creates the assigner from the recorded table, or an empty one if no table is recorded.
func (c *Controller) assignerLoaded(service string, a *assignment, term kv.Revision, item kv.Item, err error) {
	c.observeCallEra(item.Revision.Era)
	if c.assigners[service] != a {
		return
	}
	if term != c.election.Term() || term.Era != c.election.Era() {
		// The table is that of another history than the one in which this gateway was elected.
		delete(c.assigners, service)
		return
	}
	now := boottime.Now()
	log := c.Log.WithFields(logrus.Fields{"service": service, "term": term})
	switch {
	case errors.Is(err, kv.ErrNotFound) && c.tables[service] != nil:
		a.assigner = c.newAssigner(service, c.tables[service], now)
		c.passPredecessors(a.assigner, now)
		c.confirmTable(service, a)
		log.Info("no recorded ownership table; continuing from the known one")
	case errors.Is(err, kv.ErrNotFound):
		a.assigner = ownership.NewAssigner(c.Ownership, uint64(term.Era))
		a.nextPlanAt = now + initialPlanDelay
		log.Info("no recorded ownership table; planning ownership from scratch")
	case err != nil:
		log.WithError(err).Info("failed to read ownership table; retrying")
		delete(c.assigners, service)
	default:
		table, err := ownership.DecodeTable(item.Value, c.Ownership.Keys)
		if err != nil {
			log.WithError(err).Error("ownership table is invalid; its keys stay without an owner until it is repaired or deleted")
			a.reloadAt = now + reloadDelay
			return
		}
		a.assigner = c.newAssigner(service, table, now)
		c.passPredecessors(a.assigner, now)
		c.confirmTable(service, a)
		a.revision = item.Revision
		log.WithField("rows", len(table.Rows)).Info("ownership taken over")
	}
}

// planMoves moves keys whose owner is gone or draining, and keys whose move improves the balance enough.
func (c *Controller) planMoves(service string, a *assignment, now time.Duration) {
	if now < a.earliestPlanAt || !c.election.LeaseConfirmed(now) || a.writing {
		return
	}
	if now < a.nextPlanAt && (c.serversVersion == a.plannedServersVersion || a.plannedServersVersion == 0) {
		return
	}
	started := boottime.Now()
	defer func() { a.earliestPlanAt = now + planPauseFactor*(boottime.Now()-started) }()
	a.nextPlanAt = now + planInterval
	a.plannedServersVersion = c.serversVersion
	candidates := slices.DeleteFunc(c.candidates(service), func(candidate ownership.Candidate) bool {
		return a.assigner.HasTerminated(candidate.Holder)
	})
	meter := c.rateMeter(service)
	meter.Advance(c.Clock())
	table, _ := a.assigner.Table(now)
	c.pinDrainingRows(table)
	moves := a.planner.Plan(table.Rows, candidates, meter)
	moved, complete := a.assigner.Apply(moves, now)
	if !complete {
		a.nextPlanAt = now
	}
	a.assigner.RefreshRows(maxRowsPerServer * len(candidates))
	c.Metrics.CountMovedKeys(moved)
	if moved > 0 {
		c.Log.WithFields(logrus.Fields{
			"service": service, "moves": len(moves), "keys": moved, "servers": len(candidates),
		}).Info("keys move")
	}
}

// pinDrainingRows pins the rows of draining backend servers to which a grant has an unknown outcome. A release of these
// keys could not be confirmed, so they would be without an owner until the grant expires. Rows are pinned only for
// drainPinTime, during which the server still accepts requests.
func (c *Controller) pinDrainingRows(table *ownership.Table) {
	now := c.Clock()
	for i := range table.Rows {
		row := &table.Rows[i]
		if row.Confirmed || row.Moving {
			continue
		}
		owner, ok := c.directory.Lookup(row.Owner.ID)
		row.Pinned = ok && owner.StartedAtMs == row.Owner.StartedAtMs && owner.Draining &&
			now-owner.DrainingSince < drainPinTime
	}
}

// candidates returns the backend servers of a service that may own keys, sorted by ID, with their capacities.
func (c *Controller) candidates(service string) []ownership.Candidate {
	var servers []directory.RegisteredServer
	for _, server := range c.directory.Servers() {
		if server.Service == service && !server.Draining && !c.zones.Get(server.Zone).Drained {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(a, b directory.RegisteredServer) int { return cmp.Compare(a.ID, b.ID) })
	runTimes := c.aggregator.RunTimes()
	slowStart := c.slowStart(service)
	known := make([]capacity.Server, len(servers))
	for i, server := range servers {
		hash := relay.ServerHash(server.Incarnation())
		limit, limited := c.allocator.Limit(hash)
		known[i] = capacity.Server{
			Slots: server.Slots, RunTime: runTimes[hash], Limit: limit, Limited: limited, WarmsUp: c.warmsUp(server, slowStart.Period),
		}
	}
	candidates := make([]ownership.Candidate, len(servers))
	for i, requests := range capacity.Estimate(known, slowStart) {
		candidates[i] = ownership.Candidate{Holder: holderOf(servers[i].Server), Capacity: requests}
	}
	return candidates
}

// slowStart returns how the servers of a service start. It is zero before a configuration is known.
func (c *Controller) slowStart(service string) routing.SlowStart {
	if c.config == nil {
		return routing.SlowStart{}
	}
	return c.config.Services[service].SlowStart
}

// warmsUp reports whether a server has less capacity than later: it has just started, or its zone was taken back within the
// period in which its servers start slowly.
func (c *Controller) warmsUp(server directory.RegisteredServer, slowStart time.Duration) bool {
	now, returnedAt := c.Clock(), c.zones.Get(server.Zone).ReturnedAt
	return now < server.WarmupUntil || returnedAt > 0 && now < returnedAt+slowStart
}

// recordTable writes the ownership table to the store if it has changed.
func (c *Controller) recordTable(ctx context.Context, service string, a *assignment, now time.Duration) {
	if a.awaitsConfirmation() && now < a.confirmBy {
		return
	}
	if a.writing || now < a.recordRetryAt || !a.assigner.HasUnrecordedChanges() || !c.election.LeaseConfirmed(now) {
		return
	}
	table, sequence := a.assigner.Table(now)
	table.Era = uint64(c.election.Term().Era)
	value, err := table.Encode()
	if err != nil {
		c.Log.WithError(err).Error("failed to encode ownership table; it is not recorded")
		return
	}
	a.writing = true
	c.writeTable(ctx, service, a, value, sequence)
}

// dropAssigners drops the assigners. The next elected gateway continues from the recorded tables.
func (c *Controller) dropAssigners() { c.assigners = make(map[string]*assignment) }
