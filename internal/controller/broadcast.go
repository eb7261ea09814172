package controller

import (
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

const (
	// heartbeatInterval is the interval of heartbeats to the other gateways.
	heartbeatInterval = 200 * time.Millisecond
	// minReportInterval and maxReportInterval bound the interval of the reports of a gateway, and of the broadcasts of
	// their sums. Sums must be more recent than the run time of a request, or gateways would overload the same servers.
	minReportInterval = 50 * time.Millisecond
	maxReportInterval = 2 * time.Second
	// messageRatePerCore is the number of messages per second, for each core that it may use, that the elected gateway
	// exchanges with the others. A message takes some 50 us, so they use a tenth of its processor time.
	messageRatePerCore = 2000
	// reportRunTimeShare is the report interval as a share of the average run time. The number of requests in flight
	// hardly changes within that time, so more frequent reports are of no use.
	reportRunTimeShare = 0.3
	// storeContactTimeout is how long after its last contact with the store this gateway tells the others to rely on it.
	storeContactTimeout = 800 * time.Millisecond
	// runTimesInterval is the interval of heartbeats that include run times.
	runTimesInterval = time.Second
)

// broadcastState is the state of the periodic messages from the elected gateway to the others.
type broadcastState struct {
	nextHeartbeat time.Duration
	nextLoads     time.Duration
	nextRunTimes  time.Duration
	// loads prepares the messages with request counts by backend server, which it numbers as of indexedServersVersion.
	loads                 relay.LoadSender
	indexedServersVersion int
	// averageRunTime is the average run time of requests, or 0 until there are measurements.
	averageRunTime time.Duration
	// lastStoreContact is the time of the last successful store call or applied update.
	lastStoreContact time.Duration
	// fullUpdate is the encoded message with the complete contents of the store at revision fullUpdateRevision.
	fullUpdate         relay.Message
	fullUpdateRevision kv.Revision
}

// reportInterval returns the interval at which each gateway reports. It is the longer of two intervals: the shortest
// one for which the processor time of the elected gateway (cores) suffices, and reportRunTimeShare of the average run
// time. It stays between minReportInterval and maxReportInterval.
func reportInterval(gateways int, cores float64, runTime time.Duration) time.Duration {
	messages := float64(2 * gateways)
	affordable := time.Duration(messages / (messageRatePerCore * max(cores, minCores)) * float64(time.Second))
	sufficient := time.Duration(reportRunTimeShare * float64(runTime))
	return min(max(affordable, sufficient, minReportInterval), maxReportInterval)
}

// minCores is the least processor time that reportInterval assumes, also if the settings give less.
const minCores = 0.05

// broadcastDue sends the load changes and the heartbeat to the other gateways when they are due.
func (c *Controller) broadcastDue() {
	now := c.Clock()
	c.collectOwnReport()
	if now >= c.broadcasts.nextLoads {
		c.broadcastLoads(now)
		c.allocateQuotas(now)
	}
	if now < c.broadcasts.nextHeartbeat {
		return
	}
	c.broadcasts.nextHeartbeat = now + heartbeatInterval
	if c.gateways.Observe(c.aggregator.Gateways(), now) {
		c.dirty = true
	}
	heartbeat := &wire.RelayDown{
		Fresh:    now-c.broadcasts.lastStoreContact < storeContactTimeout,
		AsOf:     c.asOf.Number,
		Gateways: uint32(c.gateways.Value(now)),
		ReportMs: uint32(c.currentReportInterval().Milliseconds()),
		LagMs:    c.lagMs(),
	}
	if now >= c.broadcasts.nextRunTimes {
		c.broadcasts.nextRunTimes = now + runTimesInterval
		runTimes := c.aggregator.RunTimes()
		c.broadcasts.averageRunTime = relay.AverageRunTime(runTimes)
		c.DataPlane.SetRunTimes(runTimes)
		heartbeat.RunTimes = c.broadcasts.loads.RunTimes(runTimes)
	}
	c.broadcast(heartbeat)
}

// lagMs returns how many milliseconds ago the contents of the store were known to be complete, rounded up.
func (c *Controller) lagMs() uint32 { return uint32((c.Clock() - c.completeAt).Milliseconds()) + 1 }

// currentReportInterval returns the report interval for the current number of gateways and the measured run time.
func (c *Controller) currentReportInterval() time.Duration {
	return reportInterval(c.aggregator.Gateways(), c.Cores, c.broadcasts.averageRunTime)
}

// broadcastLoads sends the request counts by backend server, summed over all gateways, if any has changed.
func (c *Controller) broadcastLoads(now time.Duration) {
	c.broadcasts.nextLoads = now + c.currentReportInterval()
	loads := c.aggregator.Loads()
	c.DataPlane.SetLoads(loads)
	serversChanged := c.broadcasts.indexedServersVersion != c.serversVersion
	c.broadcasts.indexedServersVersion = c.serversVersion
	if message := c.broadcasts.loads.Next(loads, serversChanged, c.serverHashes); message != nil {
		c.broadcast(message)
	}
}

// serverHashes returns the hashes of the known backend servers.
func (c *Controller) serverHashes() []uint32 {
	var hashes []uint32
	for _, server := range c.directory.Servers() {
		hashes = append(hashes, relay.ServerHash(server.Incarnation()))
	}
	return hashes
}

// ownSession is the session ID of the reports of this gateway itself.
const ownSession relay.SessionID = 0

// collectOwnReport adds the report of this gateway itself to those of the others.
func (c *Controller) collectOwnReport() {
	report := &wire.RelayUp{
		HasLoad: true, Load: relay.EncodeLoads(c.DataPlane.Loads()),
		AllRunTimes: true, RunTimes: relay.EncodeRunTimes(c.DataPlane.RunTimes()),
	}
	report.Keys, report.Refused = c.reports.Drain()
	c.markLeaving(c.Host, c.DataPlane.LeavingServers())
	c.aggregator.Report(c.Host, ownSession, report)
	c.applyReport(report)
}

// applyReport passes the request counts by key to the rate meters, and the refusals to the assigners.
func (c *Controller) applyReport(report *wire.RelayUp) {
	for _, counts := range report.Keys {
		meter := c.rateMeter(counts.Service)
		for i, key := range counts.Keys {
			if i < len(counts.Counts) {
				meter.Add(int(key), int(counts.Counts[i]))
			}
		}
	}
	for _, refused := range report.Refused {
		if a := c.assigners[refused.Service]; a != nil && a.assigner != nil {
			a.assigner.RecordRefusal(int(refused.Key), refused.Owner, boottime.Now())
		}
	}
}

// Connected implements relay.Receiver.
func (c *Controller) Connected(session *relay.Session) {
	c.enqueue(func() {
		if !c.election.Acting() {
			session.Close()
			return
		}
		if message, ok := c.fullUpdateMessage(); ok {
			session.Send(message)
		}
		c.sendLoads(session)
		for _, a := range c.assigners {
			if a.assigner != nil {
				// A gateway that has connected to this one no longer acts as the elected gateway.
				a.assigner.HostStopped(session.Host, boottime.Now())
			}
		}
	})
}

// sendLoads sends the request counts by backend server. Later messages refer to the same index.
func (c *Controller) sendLoads(session *relay.Session) {
	full := c.broadcasts.loads.Full()
	if full == nil {
		return
	}
	message, err := c.encode(full)
	if err != nil {
		c.Log.WithError(err).Error("failed to encode request counts; the connected gateway uses the load reported by the servers")
		return
	}
	session.Send(message)
}

// fullUpdateMessage returns the message with the complete contents of the store. It is encoded again only after a
// change.
func (c *Controller) fullUpdateMessage() (relay.Message, bool) {
	if c.broadcasts.fullUpdate != nil && c.broadcasts.fullUpdateRevision == c.asOf {
		return c.broadcasts.fullUpdate, true
	}
	update := &wire.RelayDown{Full: true, AsOf: c.asOf.Number}
	for _, item := range c.items {
		update.Items = append(update.Items, relay.EncodeEvent(kv.Event{Item: c.withValue(item)}))
	}
	message, err := c.encode(update)
	if err != nil {
		c.Log.WithError(err).Error("failed to encode the contents of the store; the other gateways follow the store themselves")
		return nil, false
	}
	c.broadcasts.fullUpdate, c.broadcasts.fullUpdateRevision = message, c.asOf
	return message, true
}

// withValue returns an item with its value. An ownership table that was updated by deltas has none until it is encoded
// here.
func (c *Controller) withValue(item kv.Item) kv.Item {
	service, isTable := strings.CutPrefix(item.Key, tableKeyPrefix)
	if !isTable || item.Value != nil || c.tables[service] == nil {
		return item
	}
	value, err := c.tables[service].Encode()
	if err != nil {
		c.Log.WithError(err).Error("failed to encode ownership table; the other gateways read it from the store")
		return item
	}
	item.Value = value
	c.items[item.Key] = item
	return item
}

// encode encodes a message to other gateways. Its revisions are those of the known era.
func (c *Controller) encode(update *wire.RelayDown) (relay.Message, error) {
	update.Era = uint64(c.asOf.Era)
	return relay.Encode(update)
}

// broadcast sends a message to all other gateways.
func (c *Controller) broadcast(update *wire.RelayDown) {
	message, err := c.encode(update)
	if err != nil {
		c.Log.WithError(err).Error("failed to encode message; the other gateways follow the store themselves")
		c.server.CloseAll()
		return
	}
	c.server.Broadcast(message)
}

// ReportReceived implements relay.Receiver.
func (c *Controller) ReportReceived(session *relay.Session, report *wire.RelayUp) {
	c.aggregator.Report(session.Host, session.ID, report)
	if len(report.KnownTables) > 0 {
		c.enqueue(func() { c.hearWitness(session.Host, report.KnownTables) })
	}
	if report.KnowsLeaders {
		c.enqueue(func() { c.learnPredecessors(report.Leaders) })
	}
	if len(report.Keys) > 0 || len(report.Refused) > 0 || len(report.Quotas) > 0 || len(report.Leaving) > 0 {
		c.enqueue(func() {
			c.markLeaving(session.Host, relay.DecodeLeaving(report.Leaving))
			c.applyReport(report)
			c.applyQuotaReports(session.Host, report.Quotas)
		})
	}
}

// Disconnected implements relay.Receiver.
func (c *Controller) Disconnected(session *relay.Session) {
	c.aggregator.Remove(session.Host, session.ID)
}

// relayEvents forwards changes of the store to the other gateways if this gateway is the elected one.
func (c *Controller) relayEvents(events []kv.Event, asOf kv.Revision) {
	if !c.election.Acting() || len(events) == 0 {
		return
	}
	update := &wire.RelayDown{AsOf: asOf.Number, LagMs: c.lagMs()}
	for _, event := range events {
		update.Items = append(update.Items, relay.EncodeEvent(event))
	}
	c.broadcast(update)
}
