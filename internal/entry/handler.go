package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/netdial"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

const (
	// noConfigReturn is when a caller should come back to a gateway that has no configuration yet.
	noConfigReturn = 300 * time.Millisecond
	// defaultPatience is used for a caller that does not say how long it waits.
	defaultPatience = 30 * time.Second
	// answerMargin is the part of a caller's patience that is kept for the way of the request and its answer.
	answerMargin = 30 * time.Millisecond
)

// Options are what a handler needs.
type Options struct {
	// Snapshot returns the newest snapshot.
	Snapshot func() *snapshot.Snapshot
	// Clock returns the time since the start of the process.
	Clock        func() time.Duration
	Dispatcher   *dispatch.Dispatcher
	Headers      exchange.Headers
	RetryBudgets *RetryBudgets
	// ConnTimeouts are the time limits of connections of callers.
	ConnTimeouts netdial.Settings
	// ShuttingDown reports whether the process is about to end.
	ShuttingDown func() bool
	Log          *logrus.Entry
	Metrics      *observe.Metrics
	// OnOwnerRejection is told of each request that the recorded owner of its key refused.
	OnOwnerRejection func(service string, key int, owner string)
	// OnKeyRequest is told of each request for a key of a sharded service.
	OnKeyRequest func(service string, key int)
}

// Handler answers requests.
type Handler struct {
	Options
	splitter *routing.Splitter
	// answered counts good answers, of which a sample is logged.
	answered atomic.Int64
}

// New returns a server for callers.
func New(options Options) *Server {
	h := &Handler{Options: options, splitter: routing.NewSplitter()}
	return &Server{
		handle: h.handle,
		limits: h.limits,
		silent: options.ConnTimeouts,
		log:    options.Log,
		conns:  make(map[*clientConn]struct{}),
	}
}

// Limits that hold until a configuration is known.
var firstLimits = connLimits{
	maxHeaderBytes: 16 << 10,
	maxBodyBytes:   64 << 20,
	headerTimeout:  3 * time.Second,
	idleTimeout:    15 * time.Second,
}

// limits returns the limits of the configuration in force.
func (h *Handler) limits() connLimits {
	view := h.Snapshot()
	if view.Routes == nil {
		return firstLimits
	}
	limits := view.Routes.Config().Limits
	return connLimits{
		maxHeaderBytes: limits.MaxHeaderBytes,
		maxBodyBytes:   limits.MaxBodyBytes,
		headerTimeout:  limits.HeaderTimeout,
		idleTimeout:    limits.IdleTimeout,
	}
}

// handle finds the route of a request and sends it to a backend server.
func (h *Handler) handle(leave context.Context, r *request) *answer {
	view := h.Snapshot()
	if view.Routes == nil {
		return notRun("no configuration yet; send the request again", noConfigReturn)
	}
	path, _, _ := strings.Cut(r.http.RequestURI, "?")
	route := view.Routes.Find(r.http.Host, path)
	if route == nil {
		h.Log.WithFields(logrus.Fields{
			"id":      h.Headers.ParseRequest(r.http.Header).ID,
			"host":    r.http.Host,
			"path":    path,
			"version": view.Routes.Config().Version,
		}).Info("no route for the request")
		return ownAnswer(http.StatusNotFound, "no route for this host and path")
	}
	f := h.newForward(r, route, view)
	return f.run(leave)
}

// newForward prepares the forwarding of a request.
func (h *Handler) newForward(r *request, route *routing.Route, view *snapshot.Snapshot) *forward {
	call := h.Headers.ParseRequest(r.http.Header)
	arrived := h.Clock() - time.Since(r.arrived)
	patience := defaultPatience
	if call.HasTimeout {
		patience = call.Timeout - answerMargin
	}
	f := &forward{
		handler: h,
		request: r,
		route:   route,
		call:    call,
		arrived: arrived,
		gateway: view.Gateways,

		configVersion: view.Routes.Config().Version,
	}
	f.demand = dispatch.AcquireRequest{
		Service: h.splitter.Next(route),
		Key:     call.Key,
		HasKey:  call.HasKey,
		Target:  route.Target,
	}
	f.demand.Arrived = arrived
	f.demand.TargetAt = arrived + route.Target
	f.demand.Deadline = arrived + min(patience, route.Timeout)
	f.demand.Priority = route.Priority
	return f
}
