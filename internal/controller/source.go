package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/mirror"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

const (
	// watchTimeout is how long a watch of the store waits for a change. It bounds the time until a dead connection is
	// detected, because a configuration must be in force within 2 s even then.
	watchTimeout = time.Second
	// relayTimeout is how long after the last heartbeat from an elected gateway that was in contact with the store this
	// gateway starts to follow the store itself.
	relayTimeout = 700 * time.Millisecond
	// redialDelay is the delay before reconnecting to the elected gateway.
	redialDelay = 400 * time.Millisecond
	// reportsPerRunTimes is the number of report intervals per report that includes run times.
	reportsPerRunTimes = 20
	// reportsPerAllRunTimes is the number of report intervals per report that includes all run times, not only those that
	// have changed.
	reportsPerAllRunTimes = 16 * reportsPerRunTimes
	// maxReportPause is the longest time between two reports, however long the report interval is. The elected gateway
	// closes a connection without reports.
	maxReportPause = time.Second
)

// source is the state of the two sources of updates: the store itself and the elected gateway.
type source struct {
	// stopMirror stops the mirror of the store. It is nil if there is none.
	stopMirror context.CancelFunc
	// stopRelay closes the connection to the elected gateway. It is nil if there is none.
	stopRelay context.CancelFunc
	relayAddr string
	redialAt  time.Duration
	// complete is true once the elected gateway has sent the complete contents of the store.
	complete bool
	// lastFresh is the time of the last heartbeat from an elected gateway that was in contact with the store.
	lastFresh time.Duration
	// connectionID is the number of the current connection. Messages of earlier connections are ignored.
	connectionID int
	// loads holds the request counts by backend server, summed over all gateways, as the elected gateway sent them.
	loads relay.LoadReceiver
}

// chooseSource maintains the connection to the elected gateway, and follows the store itself while that connection is
// not up to date or this gateway is the elected one.
func (c *Controller) chooseSource(ctx context.Context) {
	now := c.Clock()
	c.connectToLeader(ctx, now)
	relayed := c.source.complete && now-c.source.lastFresh < relayTimeout
	leading := c.election.Acting()
	if c.source.stopMirror != nil && relayed && !leading {
		c.source.stopMirror()
		c.source.stopMirror = nil
	}
	if c.source.stopMirror == nil && (!relayed || leading) {
		c.startMirror(ctx)
	}
}

// startMirror follows the store from the last known revision.
func (c *Controller) startMirror(ctx context.Context) {
	ctx, c.source.stopMirror = context.WithCancel(ctx)
	deliver := func(ctx context.Context, update mirror.Update) {
		c.enqueue(func() {
			if ctx.Err() == nil {
				c.applyStoreUpdate(update)
			}
		})
	}
	go mirror.New(c.Store, watchTimeout, deliver).Run(ctx, c.asOf)
}

// connectToLeader connects to the elected gateway unless that is this one. It closes the connection to a former one.
func (c *Controller) connectToLeader(ctx context.Context, now time.Duration) {
	leader, known := c.election.Leader()
	addr := ""
	if known && leader.Host != c.Host {
		addr = leader.Addr
	}
	s := &c.source
	if addr != s.relayAddr {
		if s.stopRelay != nil {
			s.stopRelay()
			s.stopRelay = nil
			// Messages that are still queued were sent before the election.
			s.connectionID++
		}
		s.relayAddr, s.complete, s.redialAt = addr, false, now
	}
	if addr == "" || s.stopRelay != nil || now < s.redialAt {
		return
	}
	s.connectionID++
	s.loads = relay.LoadReceiver{}
	connectionID := s.connectionID
	ctx, s.stopRelay = context.WithCancel(ctx)
	client := &relay.Client{
		Hello: &wire.RelayUp{
			Host: c.Host, Leaders: c.recentLeaders(), KnowsLeaders: c.knowsLeaders(), KnownTables: c.knownTables(),
		},
		Dialer:  c.Dialer,
		Collect: c.reportCollector(),
		Receive: func(message *wire.RelayDown) { c.enqueue(func() { c.handleRelayMessage(connectionID, message) }) },
	}
	go func() {
		err := client.Run(ctx, addr)
		c.enqueue(func() { c.relayClosed(connectionID, err) })
	}()
}

// relayClosed schedules a reconnect after the connection to the elected gateway has ended. Until then chooseSource
// follows the store itself.
func (c *Controller) relayClosed(connectionID int, err error) {
	if connectionID != c.source.connectionID {
		return
	}
	c.source.stopRelay = nil
	c.source.complete = false
	c.source.redialAt = c.Clock() + redialDelay
	c.Log.WithError(err).WithField("addr", c.source.relayAddr).Info("connection to the elected gateway ended")
}

// handleRelayMessage applies a message from the elected gateway.
func (c *Controller) handleRelayMessage(connectionID int, message *wire.RelayDown) {
	if connectionID != c.source.connectionID {
		return
	}
	now := c.Clock()
	c.applyLoads(message)
	if len(message.Quotas) > 0 {
		c.DataPlane.SetQuotas(relay.DecodeQuotaGrants(message.Quotas, now))
	}
	if !c.sameHistory(message) {
		return
	}
	switch {
	case message.Fresh:
		c.source.lastFresh = now
	case message.Gateways > 0:
		// A heartbeat from a gateway that has lost contact with the store.
		c.source.lastFresh = now - relayTimeout
	}
	if message.Gateways > 0 && c.gateways.Observe(int(message.Gateways), now) {
		c.dirty = true
	}
	if message.ReportMs > 0 {
		c.reportInterval.Store(int64(time.Duration(message.ReportMs) * time.Millisecond))
	}
	era := kv.Era(message.Era)
	update := mirror.Update{Full: message.Full, AsOf: kv.Revision{Era: era, Number: message.AsOf}}
	for _, item := range message.Items {
		event := relay.DecodeEvent(item, era)
		if message.Full {
			update.Items = append(update.Items, event.Item)
			continue
		}
		update.Events = append(update.Events, event)
	}
	if message.Full {
		c.source.complete = true
	}
	if !c.source.complete {
		return
	}
	if message.LagMs > 0 {
		c.completeAt = max(c.completeAt, now-time.Duration(message.LagMs)*time.Millisecond)
	}
	c.applyUpdate(update)
	for _, delta := range message.Tables {
		c.applyTableDelta(delta, era)
	}
}

// sameHistory reports whether the store contents in a message can be applied to what this gateway knows. It and the
// elected gateway may know different eras of the store for a while.
func (c *Controller) sameHistory(message *wire.RelayDown) bool {
	switch era := kv.Era(message.Era); {
	case era < c.asOf.Era:
		c.source.complete = false
		return false
	case era > c.asOf.Era && !message.Full:
		// This gateway follows the store itself until the elected one has sent everything.
		c.source.complete = false
		return c.asOf.IsZero()
	default:
		return true
	}
}

// applyStoreUpdate applies an update that this gateway has read from the store itself.
func (c *Controller) applyStoreUpdate(update mirror.Update) {
	c.applyUpdate(update)
	if update.Err == nil {
		c.completeAt = c.Clock()
	}
}

// applyLoads applies the request counts by backend server and the run times, summed and averaged over all gateways.
func (c *Controller) applyLoads(message *wire.RelayDown) {
	loads, err := c.source.loads.Receive(message)
	if loads != nil {
		c.DataPlane.SetLoads(loads)
	}
	runTimes, runTimesErr := c.source.loads.RunTimes(message)
	if runTimes != nil {
		c.DataPlane.SetRunTimes(runTimes)
	}
	if err = errors.CombineErrors(err, runTimesErr); err != nil {
		c.Log.WithError(err).Debug("request counts or run times of the elected gateway left out")
	}
}

// applyTableDelta applies a change to an ownership table. If earlier changes were missed, it closes the connection, so
// that the elected gateway sends everything again after the reconnect.
func (c *Controller) applyTableDelta(delta *wire.OwnershipDelta, era kv.Era) {
	key := tableKeyPrefix + delta.Service
	item, table := c.items[key], c.tables[delta.Service]
	base, revision := kv.Revision{Era: era, Number: delta.Base}, kv.Revision{Era: era, Number: delta.Revision}
	if !item.Revision.Before(revision) {
		return
	}
	if table == nil || base != item.Revision {
		c.Log.WithField("service", delta.Service).Info("missed a change of an ownership table; reconnecting to receive it in full")
		c.source.stopRelay()
		return
	}
	patched, err := table.Patch(delta)
	if err != nil {
		c.Log.WithError(err).Warning("invalid change of an ownership table; reconnecting to receive it in full")
		c.source.stopRelay()
		return
	}
	// withValue encodes the value if this gateway is elected and forwards the table. Its assigner does not start from
	// this copy but from the table in the store, which also lists the former holders.
	c.items[key] = kv.Item{Key: key, Revision: revision, Created: item.Created}
	c.tables[delta.Service] = patched
	c.dirty = true
}

// reportCollector returns a function that returns the next report to the elected gateway, or nil if none is due or
// there is nothing to report.
func (c *Controller) reportCollector() func() *wire.RelayUp {
	var last map[uint32]int
	var lastRunTimes map[uint32]relay.RunTime
	var lastLeaving []directory.Incarnation
	var next, lastSent time.Duration
	count := 0
	return func() *wire.RelayUp {
		now := c.Clock()
		if now < next {
			return nil
		}
		next = now + time.Duration(c.reportInterval.Load()) - relay.ReportPollInterval/2
		report := &wire.RelayUp{}
		report.Keys, report.Refused = c.reports.Drain()
		report.Quotas = relay.EncodeQuotaReports(c.DataPlane.QuotaReports(), now)
		if loads := c.DataPlane.Loads(); last == nil || !maps.Equal(loads, last) {
			last = loads
			report.HasLoad, report.Load = true, relay.EncodeLoads(loads)
		}
		due := count%reportsPerRunTimes == 0
		if due {
			runTimes := c.DataPlane.RunTimes()
			report.AllRunTimes = count%reportsPerAllRunTimes == 0
			if report.AllRunTimes {
				lastRunTimes = nil
			}
			report.RunTimes = relay.EncodeRunTimes(relay.ChangedRunTimes(lastRunTimes, runTimes))
			lastRunTimes = runTimes
		}
		if leaving := c.DataPlane.LeavingServers(); due || !slices.Equal(leaving, lastLeaving) {
			lastLeaving = leaving
			report.Leaving = relay.EncodeLeaving(leaving)
		}
		count++
		if len(report.Keys) == 0 && len(report.Refused) == 0 && len(report.Quotas) == 0 && len(report.Leaving) == 0 && !report.HasLoad && !due && now-lastSent < maxReportPause {
			return nil
		}
		lastSent = now
		return report
	}
}
