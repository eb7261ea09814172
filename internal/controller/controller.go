package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/mirror"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// Options are what a controller needs.
type Options struct {
	// Host is the name of this host, and Addr its address for messages of other gateways.
	Host    string
	Addr    string
	Store   kv.Store
	Sources Sources
	Orders  ownership.Orders
	// Clock returns the time since the start of the process, as traffic counts it.
	Clock func() time.Duration
	// Publish takes each new snapshot.
	Publish func(*snapshot.Snapshot)
	// Settings of the election, of assigners and of planners.
	Election  election.Settings
	Ownership ownership.Settings
	Planner   ownership.PlannerSettings
	Log       *logrus.Entry
}

const (
	// tick is how often the goroutine looks at what is due.
	tick = 25 * time.Millisecond
	// eventQueue is the room for what other goroutines report.
	eventQueue = 1024
	// unknownGateways is the number of gateways that is assumed until the store was read: a part of a shared limit
	// must not be too large.
	unknownGateways = 64
)

// Controller is the control goroutine with its state.
type Controller struct {
	Options
	updates chan mirror.Update
	// results takes functions that the goroutine runs.
	results chan func()
	ready   atomic.Bool

	// The fields below belong to the goroutine.
	directory *directory.Directory
	config    *routing.Config
	routes    *routing.Table
	gateways  map[string]bool
	tables    map[string]recordedTable
	election  *election.Election
	assigners map[string]*assignment
	meters    map[string]*ownership.RateMeter
	register  registration
	listed    bool
	dirty     bool
	stopping  bool
}

// recordedTable is an ownership table as the store has it.
type recordedTable struct {
	table    *ownership.Table
	revision kv.Revision
}

// New returns a controller that has not started.
func New(options Options) *Controller {
	return &Controller{
		Options:   options,
		updates:   make(chan mirror.Update, 16),
		results:   make(chan func(), eventQueue),
		directory: directory.New(),
		gateways:  make(map[string]bool),
		tables:    make(map[string]recordedTable),
		election:  election.New(options.Election, election.Leader{Host: options.Host, Addr: options.Addr}),
		assigners: make(map[string]*assignment),
		meters:    make(map[string]*ownership.RateMeter),
	}
}

// Ready reports whether a configuration is known, so that requests can be served.
func (c *Controller) Ready() bool { return c.ready.Load() }

// do runs a function in the goroutine.
func (c *Controller) do(f func()) { c.results <- f }

// Requested counts a request for a key. It never blocks.
func (c *Controller) Requested(service string, key int) {
	c.offer(func() { c.meter(service).Add(key, 1) })
}

// Refused notes that the recorded owner of a key refused a request. It never blocks.
func (c *Controller) Refused(service string, key int, owner string) {
	c.offer(func() {
		if a := c.assigners[service]; a != nil {
			a.assigner.Refused(key, owner, boottime.Now())
		}
	})
}

// offer runs a function in the goroutine, unless it has too much to do: what is offered only improves estimates.
func (c *Controller) offer(f func()) {
	select {
	case c.results <- f:
	default:
	}
}

// Run runs the goroutine until the context is done.
func (c *Controller) Run(ctx context.Context) {
	go mirror.New(c.Store, c.updates).Run(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-c.updates:
			c.follow(update)
		case f := <-c.results:
			f()
		case <-ticker.C:
			c.due(ctx)
		}
		c.publish()
	}
}

// Resign gives up what this gateway holds in the store, so that others need not wait for its leases to end.
func (c *Controller) Resign(ctx context.Context) {
	done := make(chan []kv.LeaseID, 1)
	c.do(func() {
		var leases []kv.LeaseID
		if c.election.State() == election.StateLeading {
			leases = append(leases, c.election.Lease())
		}
		c.election.Resign()
		c.stopAssigning()
		c.stopping = true
		if c.register.lease != 0 {
			leases = append(leases, c.register.lease)
		}
		done <- leases
	})
	select {
	case leases := <-done:
		for _, lease := range leases {
			if err := c.Store.EndLease(ctx, lease); err != nil {
				c.Log.WithError(err).Info("lease not ended; it ends by itself")
			}
		}
	case <-ctx.Done():
	}
}
