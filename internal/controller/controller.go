package controller

import (
	"context"
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
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// Options are what a controller needs.
type Options struct {
	// Host is the name of this host, and Addr its address for other gateways.
	Host string
	Addr string
	// Cores is the processor time that this process may use.
	Cores   float64
	Store   kv.Store
	Entries EntryDecoder
	Orders  ownership.OrderSender
	// Dialer opens connections to other gateways.
	Dialer *net.Dialer
	// Clock returns the time since the start of the process, as traffic counts it.
	Clock func() time.Duration
	// DataPlane is the part of the process that carries requests.
	DataPlane DataPlane
	// Settings of the election, of assigners and of planners.
	Election  election.Settings
	Ownership ownership.Settings
	Planner   ownership.PlannerSettings
	Log       *logrus.Entry
	Metrics   *observe.Metrics
}

// DataPlane is the part of the process that carries requests, as the control goroutine sees it.
type DataPlane interface {
	// Publish takes each new snapshot.
	Publish(view *snapshot.Snapshot)
	// Loads returns the requests of this gateway at each backend server.
	Loads() map[uint32]int
	// RunTimes returns how long requests run at each backend server, as this gateway measured it.
	RunTimes() map[uint32]relay.RunTime
	// SetLoads takes the requests of all gateways at each backend server.
	SetLoads(total map[uint32]int)
	// SetRunTimes takes how long requests run at each backend server, as all gateways measured it.
	SetRunTimes(works map[uint32]relay.RunTime)
}

const (
	// tick is how often the goroutine looks at what is due while it has something to do, idleTick otherwise: each look
	// costs processor time.
	tick     = 25 * time.Millisecond
	idleTick = 100 * time.Millisecond
	// eventQueue is the room for what other goroutines report.
	eventQueue = 1024
)

// Controller is the control goroutine with its state.
type Controller struct {
	Options
	// results takes functions that the goroutine runs.
	results chan func()
	ready   atomic.Bool
	// reportInterval is the time between two reports that the elected gateway wants, in nanoseconds.
	reportInterval atomic.Int64
	reports        *reports
	hub            *relay.Aggregator
	server         *relay.Server

	// The fields below belong to the goroutine.
	directory *directory.Directory
	config    *routing.Config
	routes    *routing.Table
	tables    map[string]*ownership.Table
	election  *election.Election
	assigners map[string]*assignment
	meters    map[string]*ownership.RateMeter
	// items is what the store holds, complete up to asOf.
	items    map[string]kv.Item
	asOf     kv.Revision
	source   source
	beats    beats
	gateways gatewayCount
	// serversChanged counts changes of the backend servers, from 1. servers lists them by service as of serversListed.
	serversChanged int
	serversListed  int
	servers        map[string][]directory.RegisteredServer
	dirty          bool
	// publishedAt is when traffic got its last snapshot; 0 before the first.
	publishedAt time.Duration
	// stateShown is when the metrics were last updated.
	stateShown time.Duration
	stopping   bool
}

// New returns a controller that has not started.
func New(options Options) *Controller {
	c := &Controller{
		Options:   options,
		results:   make(chan func(), eventQueue),
		reports:   newReports(),
		hub:       relay.NewAggregator(options.Clock),
		directory: directory.New(),
		tables:    make(map[string]*ownership.Table),
		election:  election.New(options.Election, election.Leader{Host: options.Host, Addr: options.Addr}),
		assigners: make(map[string]*assignment),
		meters:    make(map[string]*ownership.RateMeter),
		items:     make(map[string]kv.Item),

		serversChanged: 1,
	}
	c.server = relay.NewServer(c, options.Log)
	return c
}

// Ready reports whether a configuration is known, so that requests can be served.
func (c *Controller) Ready() bool { return c.ready.Load() }

// do runs a function in the goroutine.
func (c *Controller) do(f func()) { c.results <- f }

// CountRequest counts a request for a key.
func (c *Controller) CountRequest(service string, key int) { c.reports.requested(service, key) }

// RecordRefusal notes that the recorded owner of a key refused a request.
func (c *Controller) RecordRefusal(service string, key int, owner string) {
	c.reports.refused(service, key, owner)
}

// Run runs the goroutine until the context is done. Other gateways connect to the listener.
func (c *Controller) Run(ctx context.Context, listener net.Listener) {
	go func() {
		if err := c.server.Serve(ctx, listener); err != nil {
			c.Log.WithError(err).Error("connections of other gateways are not served")
		}
	}()
	ticking := tick
	ticker := time.NewTicker(ticking)
	defer ticker.Stop()
	c.due(ctx)
	for {
		if next := c.nextTick(); next != ticking {
			ticking = next
			ticker.Reset(ticking)
		}
		select {
		case <-ctx.Done():
			return
		case f := <-c.results:
			f()
		case <-ticker.C:
			c.due(ctx)
		}
		c.publish()
	}
}

// nextTick returns how long the goroutine may wait for the next event.
func (c *Controller) nextTick() time.Duration {
	leader, known := c.election.Leader()
	if c.dirty || !known || leader.Host == c.Host {
		return tick
	}
	return idleTick
}

// due does what time has made necessary.
func (c *Controller) due(ctx context.Context) {
	now := boottime.Now()
	if c.directory.Expire(c.Clock()) {
		c.dirty = true
		c.serversChanged++
	}
	if c.stopping {
		return
	}
	c.chooseSource(ctx)
	before := c.election.State()
	if call, due := c.election.NextCall(now); due {
		c.electionCall(ctx, call, now)
	}
	c.noteElection(before)
	if c.election.State() == election.StateLeading {
		c.assign(ctx, now)
		c.beat()
	}
	c.showState()
}

// showState puts what this gateway believes into the metrics, from time to time.
func (c *Controller) showState() {
	now := c.Clock()
	if now < c.stateShown+showStateEvery {
		return
	}
	c.stateShown = now
	state := observe.State{
		Elected:         c.election.State() == election.StateLeading,
		Servers:         len(c.directory.Servers()),
		Gateways:        c.gateways.value(now),
		StoreContactAge: now - max(c.beats.contact, c.source.freshAt),
	}
	if c.config != nil {
		state.Version = c.config.Version
	}
	for _, table := range c.tables {
		state.OwnershipRows += len(table.Rows)
	}
	c.Metrics.SetState(state)
}

// showStateEvery is the time between two updates of the metrics.
const showStateEvery = time.Second

// noteElection ends what only the elected gateway does, if this one was and no longer is.
func (c *Controller) noteElection(before string) {
	if before != election.StateLeading || c.election.State() == election.StateLeading {
		return
	}
	c.Log.WithField("term", c.election.Term()).Info("no longer the elected gateway")
	c.stopAssigning()
	c.server.CloseAll()
}

// Resign gives up the election, so that others need not wait for its lease to end.
func (c *Controller) Resign(ctx context.Context) {
	done := make(chan kv.LeaseID, 1)
	c.do(func() {
		var lease kv.LeaseID
		before := c.election.State()
		if before == election.StateLeading {
			lease = c.election.Lease()
		}
		c.election.Resign()
		c.noteElection(before)
		c.stopping = true
		done <- lease
	})
	select {
	case lease := <-done:
		c.endLease(ctx, lease)
	case <-ctx.Done():
	}
}

func (c *Controller) endLease(ctx context.Context, lease kv.LeaseID) {
	if lease == 0 {
		return
	}
	if err := c.Store.RevokeLease(ctx, lease); err != nil {
		c.Log.WithError(err).Info("lease not ended; it ends by itself")
	}
}
