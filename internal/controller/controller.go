package controller

import (
	"context"
	"crypto/rand"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
	"github.com/sapphireplank/sapphireplank/internal/zones"
)

// Options are the settings and dependencies of a controller.
type Options struct {
	// Host is the name of this host. Addr is the address at which other gateways connect to this one.
	Host string
	Addr string
	// Cores is the number of processor cores, possibly fractional, that this process may use.
	Cores   float64
	Store   kv.Store
	Entries EntryDecoder
	Orders  ownership.OrderSender
	// Dialer opens connections to other gateways.
	Dialer *net.Dialer
	// Clock returns the time since the start of the process. DataPlane uses the same clock.
	Clock     func() time.Duration
	DataPlane DataPlane
	// Election, Ownership and Planner are the settings of the election, of assigners and of planners.
	Election  election.Settings
	Ownership ownership.Settings
	Planner   ownership.PlannerSettings
	// SlowStart bounds the requests of all gateways to a backend server that has just started.
	SlowStart quota.SlowStart
	Log       *logrus.Entry
	Metrics   *observe.Metrics
}

// DataPlane is the data plane, the part of the process that forwards requests, as the control goroutine uses it.
type DataPlane interface {
	// Publish replaces the snapshot.
	Publish(view *snapshot.Snapshot)
	// Loads returns the number of requests of this gateway at each backend server.
	Loads() map[uint32]int
	// RunTimes returns the run time of requests at each backend server, as measured by this gateway.
	RunTimes() map[uint32]relay.RunTime
	// SetLoads sets the number of requests of all gateways at each backend server.
	SetLoads(total map[uint32]int)
	// SetRunTimes sets the run time of requests at each backend server, as measured by all gateways.
	SetRunTimes(runTimes map[uint32]relay.RunTime)
	// LeavingServers returns the backend servers that said in a response to this gateway that they leave, sorted.
	LeavingServers() []directory.Incarnation
	// QuotaReports returns what this gateway did with the rates of backend servers that limit them, since the last call.
	QuotaReports() []quota.Report
	// SetQuotas sets what the elected gateway allocates to this one of these rates.
	SetQuotas(grants []quota.Grant)
}

const (
	// tickInterval is the interval at which the control goroutine checks for due work while some is expected soon.
	// Otherwise it is idleTickInterval, because each check costs processor time.
	tickInterval     = 25 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// taskQueueSize is the number of functions that other goroutines can queue before they block.
	taskQueueSize = 1024
)

// Controller is the state of the control goroutine.
type Controller struct {
	Options
	// tasks is the queue of functions that the goroutine runs.
	tasks chan func()
	ready atomic.Bool
	// reportInterval is the report interval that the elected gateway asked for, in nanoseconds.
	reportInterval atomic.Int64
	reports        *relay.ReportBuffer
	aggregator     *relay.Aggregator
	server         *relay.Server

	// The fields below are used only by the control goroutine.
	directory *directory.Directory
	zones     *zones.Drains
	config    *routing.Config
	routes    *routing.Table
	tables    map[string]*ownership.Table
	election  *election.Election
	assigners map[string]*assignment
	meters    map[string]*ownership.KeyRates
	// allocator divides the rates of backend servers while this gateway is the elected one.
	allocator *quota.Allocator
	// items is the contents of the store by key, complete up to revision asOf.
	items map[string]kv.Item
	asOf  kv.Revision
	// completeAt is a time at which items was known to be complete. Changes that arrive now were made after it.
	completeAt time.Duration
	source     source
	broadcasts broadcastState
	gateways   relay.GatewayCount
	// serversVersion counts the changes of the set of backend servers, starting at 1. servers is the list of them by
	// service, computed at serversCacheVersion.
	serversVersion      int
	serversCacheVersion int
	servers             map[string][]directory.RegisteredServer
	dirty               bool
	// publishedAt is the time at which the last snapshot was published, or 0 before the first.
	publishedAt time.Duration
	// metricsUpdatedAt is the time of the last update of the metrics.
	metricsUpdatedAt time.Duration
	// leaders are the hosts of the other gateways that were seen as the elected one, with the time at which they last were.
	leaders map[string]time.Duration
	// predecessorsKnown is set once another gateway has told which ones were the elected one, so that leaders is complete.
	predecessorsKnown bool
	// termUnbroken is set if this gateway was the elected one when the store was restored, and cannot have been replaced.
	termUnbroken bool
	// remembered tells for each service whether its table is known from before the store was restored. witnesses are the
	// other gateways that remember it, with the NextToken of their table.
	remembered map[string]bool
	witnesses  map[string]map[string]ownership.Token
	// stopping is set once this gateway is to resign. It does not campaign any more.
	stopping bool
	// resigning is set while the end of the election lease is being requested. Meanwhile this gateway sends no orders.
	resigning bool
}

// New returns a controller. Run starts it.
func New(options Options) *Controller {
	c := &Controller{
		Options:    options,
		tasks:      make(chan func(), taskQueueSize),
		reports:    relay.NewReportBuffer(),
		aggregator: relay.NewAggregator(options.Clock),
		directory:  directory.New(),
		zones:      zones.New(),
		tables:     make(map[string]*ownership.Table),
		election:   election.New(options.Election, election.Leader{Host: options.Host, Addr: options.Addr, ID: rand.Text()}),
		assigners:  make(map[string]*assignment),
		leaders:    make(map[string]time.Duration),
		remembered: make(map[string]bool),
		witnesses:  make(map[string]map[string]ownership.Token),
		meters:     make(map[string]*ownership.KeyRates),
		allocator:  quota.NewAllocator(options.SlowStart),
		items:      make(map[string]kv.Item),

		serversVersion: 1,
	}
	c.server = relay.NewServer(c, options.Log)
	return c
}

// Ready reports whether a configuration has been published, so that requests can be served.
func (c *Controller) Ready() bool { return c.ready.Load() }

// enqueue queues a function to be run by the control goroutine. It blocks while the queue is full.
func (c *Controller) enqueue(f func()) { c.tasks <- f }

// CountRequest counts a request for a key.
func (c *Controller) CountRequest(service string, key int) { c.reports.AddRequest(service, key) }

// RecordRefusal records that the owner of a key according to the ownership table refused a request for it.
func (c *Controller) RecordRefusal(service string, key int, owner string) {
	c.reports.AddRefusal(service, key, owner)
}

// Run is the control goroutine. It returns when the context is done. Other gateways connect to the listener.
func (c *Controller) Run(ctx context.Context, listener net.Listener) {
	go func() {
		if err := c.server.Serve(ctx, listener); err != nil {
			c.Log.WithError(err).Error("stopped accepting connections from other gateways")
		}
	}()
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	c.handleTick(ctx)
	for {
		if next := c.nextTickInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
		select {
		case <-ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case <-ticker.C:
			c.handleTick(ctx)
		}
		c.publish()
	}
}

// nextTickInterval returns the interval until the next check for due work. It is short while a snapshot is pending, no
// gateway is elected, or this one is.
func (c *Controller) nextTickInterval() time.Duration {
	leader, known := c.election.Leader()
	if c.dirty || !known || leader.Host == c.Host {
		return tickInterval
	}
	return idleTickInterval
}

// handleTick expires servers, chooses the source of updates, and advances the election and, if elected, the assigners.
func (c *Controller) handleTick(ctx context.Context) {
	now := boottime.Now()
	if c.directory.Expire(c.Clock(), c.completeAt) {
		c.dirty = true
		c.serversVersion++
	}
	c.expireZoneDrains()
	if c.stopping && !c.election.Acting() {
		return
	}
	c.chooseSource(ctx)
	wasActing := c.election.Acting()
	if call, due := c.election.NextCall(now); due && (c.election.Acting() || !c.stopping) {
		c.startElectionCall(ctx, call, now)
	}
	c.electionChanged(wasActing)
	if c.election.Acting() && !c.resigning {
		c.runAssigners(ctx, now)
		c.broadcastDue()
	}
	c.updateMetrics()
}

// updateMetrics sets the gauges of the control state, at most once per metricsInterval.
func (c *Controller) updateMetrics() {
	now := c.Clock()
	if now < c.metricsUpdatedAt+metricsInterval {
		return
	}
	c.metricsUpdatedAt = now
	state := observe.State{
		Elected:         c.election.Acting(),
		StoreEra:        uint64(c.election.Era()),
		Servers:         len(c.directory.Servers()),
		Gateways:        c.gateways.Value(now),
		DrainedZones:    len(c.zones.Drained()),
		StoreContactAge: now - max(c.broadcasts.lastStoreContact, c.source.lastFresh),
	}
	if c.config != nil {
		state.Version = c.config.Version
	}
	for _, table := range c.tables {
		state.OwnershipRows += len(table.Rows)
	}
	c.Metrics.SetState(state)
}

// metricsInterval is the time between two updates of the metrics.
const metricsInterval = time.Second

// electionChanged stops the duties of the elected gateway if this one acted as it before and no longer does.
func (c *Controller) electionChanged(wasActing bool) {
	if !wasActing || c.election.Acting() {
		return
	}
	c.Log.WithField("term", c.election.Term()).Info("no longer the elected gateway")
	c.dropAssigners()
	c.allocator = quota.NewAllocator(c.SlowStart)
	c.server.CloseAll()
}
