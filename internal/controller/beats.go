package controller

import (
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

const (
	// beatEvery is the time between two heartbeats to the other gateways.
	beatEvery = 200 * time.Millisecond
	// shortestReport and longestReport bound the time between two reports of a gateway, and between two sums of them.
	// Sums have to be younger than the work of a request, so that gateways do not fill the same servers.
	shortestReport = 50 * time.Millisecond
	longestReport  = 2 * time.Second
	// messagesPerCore is the number of messages a second that the elected gateway exchanges with the others, for each
	// core that it may use. One takes some 50 us, so this is a tenth of its time.
	messagesPerCore = 2000
	// freshShare is the share of the average run time up to which the requests at backend servers hardly change: reports
	// need not come more often.
	freshShare = 0.3
	// freshFor is how long a contact with the store lets the others rely on this gateway.
	freshFor = 800 * time.Millisecond
	// spreadWorksEvery is the time between two messages with run times.
	spreadWorksEvery = time.Second
)

// beats is what the elected gateway sends to the others from time to time.
type beats struct {
	nextBeat  time.Duration
	nextLoad  time.Duration
	nextWorks time.Duration
	// loads are the requests at each backend server that the other gateways know.
	loads map[uint32]int
	// runTime is the average run time of requests; 0 until it was measured.
	runTime time.Duration
	// contact is when the store last answered.
	contact time.Duration
	// full is all that the store held at fullAsOf, encoded.
	full     relay.Message
	fullAsOf kv.Revision
}

// reportEvery returns the time between two reports of each gateway that an elected gateway with some processor time can
// take and that the average run time of requests makes necessary.
func reportEvery(gateways int, cores float64, runTime time.Duration) time.Duration {
	messages := float64(2 * gateways)
	bearable := time.Duration(messages / (messagesPerCore * max(cores, leastCores)) * float64(time.Second))
	useful := time.Duration(freshShare * float64(runTime))
	return min(max(bearable, useful, shortestReport), longestReport)
}

// leastCores is the processor time that is assumed where the settings name less.
const leastCores = 0.05

// beat sends what is due to the other gateways.
func (c *Controller) beat() {
	now := c.Clock()
	c.takeOwnReports()
	if now >= c.beats.nextLoad {
		c.spreadLoads(now)
	}
	if now < c.beats.nextBeat {
		return
	}
	c.beats.nextBeat = now + beatEvery
	if c.gateways.note(c.hub.Gateways(), now) {
		c.dirty = true
	}
	down := &wire.RelayDown{
		Fresh:    now-c.beats.contact < freshFor,
		AsOf:     int64(c.asOf),
		Gateways: uint32(c.gateways.value(now)),
		ReportMs: uint32(c.reportEvery().Milliseconds()),
	}
	if now >= c.beats.nextWorks {
		c.beats.nextWorks = now + spreadWorksEvery
		works := c.hub.RunTimes()
		c.beats.runTime = relay.AverageRunTime(works)
		c.DataPlane.SetRunTimes(works)
		down.Works = relay.EncodeRunTimes(works)
	}
	c.broadcast(down)
}

// reportEvery returns the time between two reports of each gateway.
func (c *Controller) reportEvery() time.Duration {
	return reportEvery(c.hub.Gateways(), c.Cores, c.beats.runTime)
}

// spreadLoads sends how the requests of all gateways at each backend server have changed.
func (c *Controller) spreadLoads(now time.Duration) {
	c.beats.nextLoad = now + c.reportEvery()
	loads := c.hub.Loads()
	c.DataPlane.SetLoads(loads)
	changes := relay.LoadChanges(c.beats.loads, loads)
	if len(changes) == 0 {
		return
	}
	c.beats.loads = loads
	c.broadcast(&wire.RelayDown{LoadChanged: true, Load: relay.EncodeLoads(changes)})
}

// takeOwnReports counts this gateway like the others.
func (c *Controller) takeOwnReports() {
	up := &wire.RelayUp{HasLoad: true, Load: relay.EncodeLoads(c.DataPlane.Loads()), Works: relay.EncodeRunTimes(c.DataPlane.RunTimes())}
	up.Keys, up.Refused = c.reports.take()
	c.hub.Report(c.Host, up)
	c.takeReport(up)
}

// takeReport counts the requests for keys and the refusals of a report.
func (c *Controller) takeReport(up *wire.RelayUp) {
	for _, counts := range up.Keys {
		meter := c.meter(counts.Service)
		for i, key := range counts.Keys {
			if i < len(counts.Counts) {
				meter.Add(int(key), int(counts.Counts[i]))
			}
		}
	}
	for _, refused := range up.Refused {
		if a := c.assigners[refused.Service]; a != nil && a.assigner != nil {
			a.assigner.Refused(int(refused.Key), refused.Owner, boottime.Now())
		}
	}
}

// Connected implements relay.Receiver.
func (c *Controller) Connected(session *relay.Session) {
	c.do(func() {
		if c.election.State() != election.StateLeading {
			session.Close()
			return
		}
		if message, ok := c.everything(); ok {
			session.Send(message)
		}
		c.sendLoads(session)
		for _, a := range c.assigners {
			if a.assigner != nil {
				// A gateway that follows this one does not act as the elected one any more.
				a.assigner.HostStopped(session.Host, boottime.Now())
			}
		}
	})
}

// sendLoads sends the requests of all gateways at each backend server, which later messages change.
func (c *Controller) sendLoads(session *relay.Session) {
	message, err := relay.Encode(&wire.RelayDown{HasLoad: true, Load: relay.EncodeLoads(c.beats.loads)})
	if err != nil {
		c.Log.WithError(err).Error("requests at backend servers are not passed on; the gateway goes by the servers' reports")
		return
	}
	session.Send(message)
}

// everything returns the message with all that the store holds. It is encoded again only after a change.
func (c *Controller) everything() (relay.Message, bool) {
	if c.beats.full != nil && c.beats.fullAsOf == c.asOf {
		return c.beats.full, true
	}
	down := &wire.RelayDown{Full: true, AsOf: int64(c.asOf)}
	for _, item := range c.items {
		down.Items = append(down.Items, relay.EncodeEvent(kv.Event{Item: c.withValue(item)}))
	}
	message, err := relay.Encode(down)
	if err != nil {
		c.Log.WithError(err).Error("what the store holds is not passed on; the other gateways follow the store")
		return nil, false
	}
	c.beats.full, c.beats.fullAsOf = message, c.asOf
	return message, true
}

// withValue returns an item with its value, which an ownership table that was changed in parts does not have.
func (c *Controller) withValue(item kv.Item) kv.Item {
	service, isTable := strings.CutPrefix(item.Key, prefixTables)
	if !isTable || item.Value != nil || c.tables[service] == nil {
		return item
	}
	value, err := c.tables[service].Encode()
	if err != nil {
		c.Log.WithError(err).Error("ownership table not passed on; the other gateways read it from the store")
		return item
	}
	item.Value = value
	c.items[item.Key] = item
	return item
}

// broadcast sends a message to all other gateways.
func (c *Controller) broadcast(down *wire.RelayDown) {
	message, err := relay.Encode(down)
	if err != nil {
		c.Log.WithError(err).Error("message not passed on; the other gateways follow the store")
		c.server.CloseAll()
		return
	}
	c.server.Broadcast(message)
}

// ReportReceived implements relay.Receiver.
func (c *Controller) ReportReceived(host string, up *wire.RelayUp) {
	c.hub.Report(host, up)
	if len(up.Keys) > 0 || len(up.Refused) > 0 {
		c.do(func() { c.takeReport(up) })
	}
}

// Disconnected implements relay.Receiver.
func (c *Controller) Disconnected(session *relay.Session) { c.hub.Remove(session.Host) }

// relay passes on an update of the store to the other gateways.
func (c *Controller) relay(update []kv.Event, asOf kv.Revision) {
	if c.election.State() != election.StateLeading || len(update) == 0 {
		return
	}
	down := &wire.RelayDown{AsOf: int64(asOf)}
	for _, event := range update {
		down.Items = append(down.Items, relay.EncodeEvent(event))
	}
	c.broadcast(down)
}
