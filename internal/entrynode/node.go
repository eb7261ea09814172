// Package entrynode assembles one gateway process that forwards requests directly to backend servers, with the
// platform's store as its only memory.
package entrynode

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/controller"
	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/entry"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/netdial"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// Adapter is what a platform provides.
type Adapter struct {
	Store   kv.Store
	Sources controller.EntryDecoder
	Orders  ownership.OrderSender
	Headers exchange.Headers
	// Keys is the number of keys of a sharded service.
	Keys int
	// ReadyPath is where the balancer asks whether this process takes new connections.
	ReadyPath string
}

// Node is one gateway process.
type Node struct {
	settings   atomic.Pointer[Settings]
	adapter    Adapter
	logs       *logging.Loggers
	metrics    *observe.Metrics
	log        *logrus.Entry
	started    time.Time
	view       atomic.Pointer[snapshot.Snapshot]
	dispatcher *dispatch.Dispatcher
	controller *controller.Controller
	budgets    *entry.RetryBudgets
	server     *entry.Server
	stopping   atomic.Bool
}

// New returns a node that has not started.
func New(settings *Settings, adapter Adapter, logs *logging.Loggers, metrics *observe.Metrics) *Node {
	adapter.Store = observe.NewStore(adapter.Store, metrics)
	n := &Node{
		adapter: adapter, logs: logs, metrics: metrics, log: logs.Component("node"), started: time.Now(),
	}
	n.settings.Store(settings)
	n.view.Store(&snapshot.Snapshot{})
	n.budgets = entry.NewRetryBudgets(retryLimits(settings), n.clock)
	dialer := ServerTimeouts.Dialer()
	n.dispatcher = dispatch.New(settings.Zone, settings.ServerDrain, n.clock, func(addr string) *serverconn.Pool {
		return serverconn.NewPool(addr, dialer, adapter.Headers, poolSettings)
	})
	n.controller = controller.New(n.controllerOptions(settings))
	n.server = entry.New(entry.Options{
		Snapshot:         n.view.Load,
		Clock:            n.clock,
		Dispatcher:       n.dispatcher,
		Headers:          adapter.Headers,
		RetryBudgets:     n.budgets,
		ConnTimeouts:     callerSilence,
		ShuttingDown:     n.stopping.Load,
		Log:              logs.Component("entry"),
		Metrics:          metrics,
		OnOwnerRejection: n.controller.RecordRefusal,
		OnKeyRequest:     n.requested,
	})
	return n
}

// clock returns the time since the start of the process.
func (n *Node) clock() time.Duration { return time.Since(n.started) }

// requested counts requests for keys of sharded services.
func (n *Node) requested(service string, key int) {
	if s := n.view.Load().Services[service]; s != nil && s.Sharded {
		n.controller.CountRequest(service, key)
	}
}

func (n *Node) controllerOptions(settings *Settings) controller.Options {
	return controller.Options{
		Host:      settings.Host,
		Addr:      n.relayAddr(),
		Cores:     settings.Cores,
		Store:     n.adapter.Store,
		Entries:   n.adapter.Sources,
		Orders:    n.adapter.Orders,
		Clock:     n.clock,
		Dialer:    ServerTimeouts.Dialer(),
		DataPlane: traffic{n},
		Election:  electionSettings(settings),
		Ownership: ownershipSettings(settings, n.adapter.Keys),
		Planner:   plannerSettings(n.adapter.Keys),
		Log:       n.logs.Component("control"),
		Metrics:   n.metrics,
	}
}

// relayAddr is the address for other gateways.
func (n *Node) relayAddr() string {
	settings := n.settings.Load()
	return net.JoinHostPort(settings.Address, strconv.Itoa(settings.InternalPorts[0]))
}

// traffic is the part of the node that carries requests, for the control goroutine.
type traffic struct{ *Node }

var _ controller.DataPlane = traffic{}

func (t traffic) Publish(view *snapshot.Snapshot) {
	t.view.Store(view)
	t.dispatcher.Update(view)
}

func (t traffic) Loads() map[uint32]int                      { return t.dispatcher.Loads() }
func (t traffic) RunTimes() map[uint32]relay.RunTime         { return t.dispatcher.Works() }
func (t traffic) SetLoads(total map[uint32]int)              { t.dispatcher.SetLoads(total) }
func (t traffic) SetRunTimes(works map[uint32]relay.RunTime) { t.dispatcher.SetWorks(works) }

// Run serves until the context is done and then stops within the grace time. Changes of the settings file at the path
// are put in force meanwhile.
func (n *Node) Run(ctx context.Context, settingsPath string) error {
	settings := n.settings.Load()
	callers, err := net.Listen("tcp4", settings.CallerAddress)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %q", settings.CallerAddress)
	}
	readiness, err := net.Listen("tcp4", settings.ReadinessAddress)
	if err != nil {
		return errors.Wrapf(err, "listen for the balancer on %q", settings.ReadinessAddress)
	}
	gateways, err := net.Listen("tcp4", n.relayAddr())
	if err != nil {
		return errors.Wrapf(err, "listen for other gateways on %q", n.relayAddr())
	}
	control, endControl := context.WithCancel(context.Background())
	defer endControl()
	go n.controller.Run(control, gateways)
	go n.serveReadiness(readiness)
	go n.serveMetrics()
	go n.watchSettings(control, settingsPath)
	go n.sweep(control)
	served := make(chan error, 1)
	go func() { served <- n.server.Serve(callers) }()
	n.log.WithFields(logrus.Fields{"host": settings.Host, "zone": settings.Zone}).Info("started")
	select {
	case err := <-served:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	n.stop()
	return nil
}

// sweepEvery is the time between two looks at idle connections to backend servers.
const sweepEvery = 4 * time.Second

// sweep closes idle connections, which backend servers count against their limits, until the context is done.
func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.dispatcher.CloseIdleConnections()
		}
	}
}

// serveReadiness answers the balancer.
func (n *Node) serveReadiness(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(n.adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() || !n.controller.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readinessTimeout}
	if err := server.Serve(listener); err != nil {
		n.log.WithError(err).Error("readiness is not served")
	}
}

const readinessTimeout = 2 * time.Second

// ServerTimeouts are the time limits of connections to backend servers and to the store.
var ServerTimeouts = netdial.Settings{
	ConnectTimeout:    400 * time.Millisecond,
	UserTimeout:       1500 * time.Millisecond,
	KeepAliveInterval: time.Second,
}

// callerSilence are the time limits of connections of callers.
var callerSilence = netdial.Settings{
	ConnectTimeout:    time.Second,
	UserTimeout:       10 * time.Second,
	KeepAliveInterval: 10 * time.Second,
}

var poolSettings = serverconn.Settings{
	MaxIdle:              8 * time.Second,
	MaxIdleAtMostOnce:    5 * time.Second,
	ResetWatchMargin:     1200 * time.Microsecond,
	MaxResponseBodyBytes: 16 << 20,
}

// electionSettings returns the times of the election.
func electionSettings(s *Settings) election.Settings {
	const leases = 2
	ttl := leases * s.ShortestLease
	return election.Settings{
		TTL:           ttl,
		RenewInterval: leaseKeep,
		OutageGrace:   outageStretch,
		CampaignDelay: campaignDelay(s),
	}
}

// ownershipSettings returns the times of grants.
func ownershipSettings(s *Settings, keys int) ownership.Settings {
	return ownership.Settings{
		Host:             s.Host,
		Keys:             keys,
		GrantDuration:    min(grantHold, s.LongestGrant),
		RenewInterval:    min(grantHold, s.LongestGrant) / 4,
		RetryInterval:    150 * time.Millisecond,
		OrderTimeout:     500 * time.Millisecond,
		PredecessorGrace: outageStretch,
	}
}

const (
	// grantHold is how long keys are granted. The keys of a lost backend server are without an owner for as long;
	// a gateway that takes over renewal has as long.
	grantHold = 5 * time.Second
	// leaseKeep is the time between two renewals of the lease of the elected gateway. The others rely on it only
	// while it reaches the store.
	leaseKeep = 300 * time.Millisecond
	// outageStretch is how long the elected gateway renews grants while the store is away.
	outageStretch = 12 * time.Second
)

func plannerSettings(keys int) ownership.PlannerSettings {
	return ownership.PlannerSettings{Keys: keys, Tolerance: 1.25, IdleUtilization: 0.4, MaxMoves: 8, MinRate: 5}
}

// campaignDelay lets the hosts with the most processor time campaign first, because the elected gateway has the most
// to do, and spreads the others.
func campaignDelay(s *Settings) time.Duration {
	sum := 0
	for _, letter := range []byte(s.Host) {
		sum = (sum*31 + int(letter)) % campaignSteps
	}
	weakness := 1 - min(s.Cores, 1)
	return time.Duration(sum)*campaignStep + time.Duration(weakness*float64(weakestDelay))
}

const (
	campaignSteps = 16
	campaignStep  = 6 * time.Millisecond
	// weakestDelay is the delay of a host with hardly any processor time.
	weakestDelay = 250 * time.Millisecond
)
