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

// Dispatcher executes requests on one backend server. Its errors are *outcome.Problem.
type Dispatcher interface {
	Do(ctx context.Context, r *backend.Request) (*backend.Response, error)
	// LoadPercent returns the requests that are queued or in execution, over the slots, in percent.
	LoadPercent() uint32
}

// Homes finds the dispatchers of the backend servers whose home this gateway is.
type Homes interface {
	Dispatcher(server string) (Dispatcher, bool)
}

// Observer counts requests.
type Observer interface {
	// Answered is called once per request of a caller.
	Answered(service string, status int, o outcome.Outcome, took time.Duration)
	// Retried is called when a request is sent again after a failure.
	Retried(service string)
}

// Options are the parts that a gateway is built from.
type Options struct {
	// Self is the name of the host.
	Self     string
	Homes    Homes
	Peers    *peer.Pool
	Events   timeline.Recorder
	Observer Observer
}

// Gateway serves callers and other gateways.
type Gateway struct {
	options   Options
	view      atomic.Pointer[View]
	bodies    *semaphore.Weighted
	held      atomic.Int64
	active    atomic.Int64
	draining  atomic.Bool
	balancers *balancers
	budgets   *budgets
	suspects  *suspects
}

// New returns a gateway that refuses requests until it has a view.
func New(options Options) *Gateway {
	return &Gateway{
		options:   options,
		bodies:    semaphore.NewWeighted(bodyMemoryBytes),
		balancers: newBalancers(),
		budgets:   newBudgets(),
		suspects:  newSuspects(),
	}
}

// SetView publishes a new view to the traffic.
func (g *Gateway) SetView(v *View) {
	g.balancers.update(v)
	g.view.Store(v)
}

// View returns the current view, or nil.
func (g *Gateway) View() *View { return g.view.Load() }

// Ready reports whether the balancer should send callers here. A gateway is not ready while its host's planned stop
// lasts.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return v != nil && !g.draining.Load() && !v.stopping(time.Now())
}

// Drain makes the gateway not ready. Requests are still served until the listener closes.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }
