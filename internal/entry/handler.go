package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/bytebudget"
	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/netdial"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

const (
	// noConfigRetryAfter is the Retry-After time of a response from a gateway that has no configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// defaultClientTimeout is used for clients that do not send a timeout.
	defaultClientTimeout = 30 * time.Second
	// responseMargin is the part of the client's timeout that is reserved for the transfer of the request and its
	// response.
	responseMargin = 30 * time.Millisecond
)

// Options are the dependencies and settings of a Handler.
type Options struct {
	// Snapshot returns the latest snapshot.
	Snapshot func() *snapshot.Snapshot
	// Clock returns the time since the start of the process.
	Clock        func() time.Duration
	Dispatcher   *dispatch.Dispatcher
	Headers      exchange.Headers
	RetryBudgets *RetryBudgets
	Hedges       *Hedges
	// BodyMemoryBytes bounds the bodies of all requests and responses in flight.
	BodyMemoryBytes int64
	// HeldBodyBytes is the length up to which the body of a request is held, so that the request can be sent again. The
	// rest of a longer one is forwarded while it arrives.
	HeldBodyBytes int64
	// ConnTimeouts holds the timeouts of client connections.
	ConnTimeouts netdial.Settings
	// ShuttingDown reports whether the process is shutting down.
	ShuttingDown func() bool
	Log          *logrus.Entry
	Metrics      *observe.Metrics
	// OnOwnerRejection is called for each request that the recorded owner of its key rejected.
	OnOwnerRejection func(service string, key int, owner string)
	// OnKeyRequest is called for each request for a key of a sharded service.
	OnKeyRequest func(service string, key int)
}

// Handler routes requests and forwards them to backend servers.
type Handler struct {
	Options
	splitter *routing.Splitter
	patience *routePatience
	// served counts successful responses; a sample of these is logged.
	served atomic.Int64
}

// New returns a server for client connections.
func New(options Options) *Server {
	h := &Handler{Options: options, splitter: routing.NewSplitter(), patience: newRoutePatience()}
	return &Server{
		handle:   h.handle,
		limits:   h.limits,
		timeouts: options.ConnTimeouts,
		log:      options.Log,
		conns:    make(map[*clientConn]struct{}),

		finishing: make(chan struct{}),

		memory:        bytebudget.New(options.BodyMemoryBytes),
		heldBodyBytes: min(options.HeldBodyBytes, options.BodyMemoryBytes),
		writeStall:    writeStall,
	}
}

// initialLimits apply until a configuration is known.
var initialLimits = connLimits{
	maxHeaderBytes: 16 << 10,
	maxBodyBytes:   64 << 20,
	headerTimeout:  3 * time.Second,
	idleTimeout:    15 * time.Second,
}

// limits returns the limits of the active configuration.
func (h *Handler) limits() connLimits {
	view := h.Snapshot()
	if view.Routes == nil {
		return initialLimits
	}
	limits := view.Routes.Config().Limits
	return connLimits{
		maxHeaderBytes: limits.MaxHeaderBytes,
		maxBodyBytes:   limits.MaxBodyBytes,
		headerTimeout:  limits.HeaderTimeout,
		idleTimeout:    limits.IdleTimeout,
	}
}

// handle finds the route of a request and forwards it to a backend server.
func (h *Handler) handle(ctx context.Context, r *request) *response {
	view := h.Snapshot()
	if view.Routes == nil {
		return notExecutedResponse("no configuration yet; send the request again", noConfigRetryAfter)
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
		return gatewayResponse(http.StatusNotFound, "no route for this host and path")
	}
	f := h.newForwarder(r, route, view)
	return f.run(ctx)
}

// newForwarder returns a forwarder for a request.
func (h *Handler) newForwarder(r *request, route *routing.Route, view *snapshot.Snapshot) *forwarder {
	metadata := h.Headers.ParseRequest(r.http.Header)
	arrived := h.Clock() - time.Since(r.arrived)
	timeout := defaultClientTimeout
	if metadata.HasTimeout {
		timeout = metadata.Timeout - responseMargin
	}
	f := &forwarder{
		handler:  h,
		request:  r,
		route:    route,
		metadata: metadata,
		arrived:  arrived,
		gateways: view.Gateways,

		configVersion: view.Routes.Config().Version,
	}
	f.acquireRequest = dispatch.AcquireRequest{
		Service: h.splitter.Next(route),
		Key:     metadata.Key,
		HasKey:  metadata.HasKey,
		Target:  route.Target,
	}
	firstSent := arrived
	if metadata.HasTimeout {
		firstSent -= h.patience.observe(route.Name, metadata.Timeout, arrived)
	}
	f.acquireRequest.Arrived = firstSent
	f.acquireRequest.TargetAt = firstSent + route.Target
	f.acquireRequest.Deadline = arrived + min(timeout, route.Timeout)
	f.acquireRequest.Priority = route.Priority
	return f
}
