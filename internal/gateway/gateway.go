package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Dispatcher executes requests on one backend server. The errors that Do returns are of type *outcome.Problem.
type Dispatcher interface {
	Do(ctx context.Context, r *backend.Request) (*backend.Response, error)
	// LoadPercent returns the number of queued and executing requests relative to the number of slots, in percent.
	LoadPercent() uint32
}

// Dispatchers looks up the dispatchers of the backend servers for which this gateway is the home gateway.
type Dispatchers interface {
	Dispatcher(server string) (Dispatcher, bool)
}

// Observer receives request statistics.
type Observer interface {
	// RequestCompleted is called once per request of a client, after the response was written.
	RequestCompleted(service string, status int, o outcome.Outcome, took time.Duration)
	// RequestRetried is called when a request is routed again after a failed attempt.
	RequestRetried(service string)
}

// Options configures a Gateway.
type Options struct {
	// Self is the name of this gateway's host.
	Self        string
	Dispatchers Dispatchers
	Peers       *peer.Pool
	Events      timeline.Recorder
	Observer    Observer
}

// Gateway serves the requests of clients and the requests that other gateways forward.
type Gateway struct {
	options        Options
	table          atomic.Pointer[RoutingTable]
	bodyMemory     *semaphore.Weighted
	waitingRetries atomic.Int64
	inFlight       atomic.Int64
	draining       atomic.Bool
	balancers      *serviceBalancers
	retryBudgets   *retryBudgets
	unreachable    *unreachableHosts
}

// New returns a gateway that refuses requests until SetRoutingTable is called.
func New(options Options) *Gateway {
	return &Gateway{
		options:      options,
		bodyMemory:   semaphore.NewWeighted(bodyMemoryBytes),
		balancers:    newServiceBalancers(),
		retryBudgets: newRetryBudgets(),
		unreachable:  newUnreachableHosts(),
	}
}

// SetRoutingTable installs a new routing table.
func (g *Gateway) SetRoutingTable(table *RoutingTable) {
	g.balancers.update(table)
	g.table.Store(table)
}

// RoutingTable returns the current routing table, or nil if none was set.
func (g *Gateway) RoutingTable() *RoutingTable { return g.table.Load() }

// Ready reports whether the load balancer in front of the gateways should send requests to this one. A gateway is not
// ready before it has a routing table, while it drains, and during a planned stop of its host.
func (g *Gateway) Ready() bool {
	table := g.table.Load()
	return table != nil && !g.draining.Load() && !table.inPlannedStop(time.Now())
}

// Drain makes Ready return false. Requests are still served until the listener closes.
func (g *Gateway) Drain() { g.draining.Store(true) }

// InFlight returns the number of requests of clients and of other gateways that are not answered yet.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }
