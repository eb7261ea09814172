// Package entrynode assembles a gateway process that forwards requests directly to backend servers and keeps its
// persistent state only in the platform's store.
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
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/entry"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/netdial"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// Adapter is the integration of a platform.
type Adapter struct {
	Store   kv.Store
	Entries controller.EntryDecoder
	Orders  ownership.OrderSender
	Headers exchange.Headers
	// Keys is the size of the key space of a sharded service.
	Keys int
	// ReadyPath is the path of the load balancer's readiness check.
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
	// clientListener accepts client connections; served is closed when it accepts no more.
	clientListener net.Listener
	served         chan struct{}
}

// New returns a node that is not running yet.
func New(settings *Settings, adapter Adapter, logs *logging.Loggers, metrics *observe.Metrics) *Node {
	adapter.Store = observe.NewStore(adapter.Store, metrics)
	n := &Node{
		adapter: adapter, logs: logs, metrics: metrics, log: logs.Component("node"), started: time.Now(),
		served: make(chan struct{}),
	}
	n.settings.Store(settings)
	n.view.Store(&snapshot.Snapshot{})
	n.budgets = entry.NewRetryBudgets(retryLimits(settings), n.clock)
	dialer := ServerTimeouts.Dialer()
	n.dispatcher = dispatch.New(dispatch.Options{
		Zone:    settings.Zone,
		Periods: drainPeriods(settings),

		SlowStart: slowStart(settings),
		Clock:     n.clock,
		NewPool: func(addr string) *serverconn.Pool {
			return serverconn.NewPool(addr, dialer, adapter.Headers, poolSettings)
		},
		Log:     logs.Component("dispatch"),
		Metrics: metrics,
	})
	n.controller = controller.New(n.controllerOptions(settings))
	n.server = entry.New(entry.Options{
		Snapshot:         n.view.Load,
		Clock:            n.clock,
		Dispatcher:       n.dispatcher,
		Headers:          adapter.Headers,
		RetryBudgets:     n.budgets,
		Hedges:           entry.NewHedges(settings.Hedging),
		BodyMemoryBytes:  bodyMemoryBytes(settings),
		HeldBodyBytes:    int64(settings.BodyBufferKB) * kibibyte,
		ConnTimeouts:     clientTimeouts,
		ShuttingDown:     n.stopping.Load,
		Log:              logs.Component("entry"),
		Metrics:          metrics,
		OnOwnerRejection: n.controller.RecordRefusal,
		OnKeyRequest:     n.recordRequest,
	})
	return n
}

// clock returns the time since the start of the process.
func (n *Node) clock() time.Duration { return time.Since(n.started) }

// recordRequest reports a request for a key of a sharded service to the controller.
func (n *Node) recordRequest(service string, key int) {
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
		Entries:   n.adapter.Entries,
		Orders:    n.adapter.Orders,
		Clock:     n.clock,
		Dialer:    ServerTimeouts.Dialer(),
		DataPlane: dataPlane{n},
		Election:  electionSettings(settings),
		Ownership: ownershipSettings(settings, n.adapter.Keys),
		Planner:   plannerSettings(n.adapter.Keys),
		SlowStart: slowStart(settings),
		Log:       n.logs.Component("control"),
		Metrics:   n.metrics,
	}
}

// relayAddr returns the listen address for messages from other gateways.
func (n *Node) relayAddr() string {
	settings := n.settings.Load()
	return net.JoinHostPort(settings.Address, strconv.Itoa(settings.InternalPorts[0]))
}

// dataPlane implements controller.DataPlane on the node.
type dataPlane struct{ *Node }

var _ controller.DataPlane = dataPlane{}

func (d dataPlane) Publish(view *snapshot.Snapshot) {
	d.view.Store(view)
	d.dispatcher.Update(view)
}

func (d dataPlane) Loads() map[uint32]int                         { return d.dispatcher.Loads() }
func (d dataPlane) RunTimes() map[uint32]relay.RunTime            { return d.dispatcher.RunTimes() }
func (d dataPlane) SetLoads(total map[uint32]int)                 { d.dispatcher.SetLoads(total) }
func (d dataPlane) SetRunTimes(runTimes map[uint32]relay.RunTime) { d.dispatcher.SetRunTimes(runTimes) }

func (d dataPlane) LeavingServers() []directory.Incarnation { return d.dispatcher.LeavingServers() }

func (d dataPlane) QuotaReports() []quota.Report   { return d.dispatcher.QuotaReports() }
func (d dataPlane) SetQuotas(grants []quota.Grant) { d.dispatcher.SetQuotas(grants) }

// Run serves until the context is done and then stops within the grace period. Changes to the file at settingsPath
// are applied while it runs.
func (n *Node) Run(ctx context.Context, settingsPath string) error {
	settings := n.settings.Load()
	clientListener, err := net.Listen("tcp4", settings.CallerAddress)
	if err != nil {
		return errors.Wrapf(err, "listen for clients on %q", settings.CallerAddress)
	}
	n.clientListener = clientListener
	readinessListener, err := net.Listen("tcp4", settings.ReadinessAddress)
	if err != nil {
		return errors.Wrapf(err, "listen for readiness checks on %q", settings.ReadinessAddress)
	}
	relayListener, err := net.Listen("tcp4", n.relayAddr())
	if err != nil {
		return errors.Wrapf(err, "listen for other gateways on %q", n.relayAddr())
	}
	control, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	go n.controller.Run(control, relayListener)
	go n.serveReadiness(readinessListener)
	go n.serveMetrics()
	go n.watchSettings(control, settingsPath)
	go n.closeIdleConnections(control)
	go func() {
		defer close(n.served)
		n.server.Serve(clientListener)
	}()
	n.log.WithFields(logrus.Fields{"host": settings.Host, "zone": settings.Zone}).Info("started")
	<-ctx.Done()
	n.shutdown()
	return nil
}

// idleSweepInterval is the time between two checks for idle connections to backend servers.
const idleSweepInterval = 4 * time.Second

// closeIdleConnections periodically closes idle connections to backend servers, until the context is done. Backend
// servers count idle connections against their limits.
func (n *Node) closeIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
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

// serveReadiness serves the readiness check, which fails while the process is stopping or the controller is not
// ready.
func (n *Node) serveReadiness(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(n.adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() || !n.controller.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	if err := server.Serve(listener); err != nil {
		n.log.WithError(err).Error("readiness check is no longer served")
	}
}

const readHeaderTimeout = 2 * time.Second

// ServerTimeouts holds the time limits of connections to backend servers and to the store.
var ServerTimeouts = netdial.Settings{
	ConnectTimeout:    400 * time.Millisecond,
	UserTimeout:       1500 * time.Millisecond,
	KeepAliveInterval: time.Second,
}

// clientTimeouts holds the time limits of connections from clients.
var clientTimeouts = netdial.Settings{
	ConnectTimeout:    time.Second,
	UserTimeout:       10 * time.Second,
	KeepAliveInterval: 10 * time.Second,
}

var poolSettings = serverconn.Settings{
	MaxIdle:              8 * time.Second,
	MaxIdleAtMostOnce:    5 * time.Second,
	ResetCheckMargin:     1200 * time.Microsecond,
	MaxResponseBodyBytes: 16 << 20,
}

// bodyMemoryBytes returns the limit of the bodies in flight.
func bodyMemoryBytes(s *Settings) int64 {
	return int64(s.MemoryMB) * mebibyte / 100 * int64(s.BodyMemoryPercent)
}

// slowStart returns the bound on the requests to a backend server that has just started.
func slowStart(s *Settings) quota.SlowStart {
	return quota.SlowStart{Overshoot: s.SlowStartOvershoot, Slack: s.SlowStartSlack}
}

// electionSettings returns the timing of the election.
func electionSettings(s *Settings) election.Settings {
	const ttlFactor = 2
	ttl := ttlFactor * s.ShortestLease
	return election.Settings{
		TTL:           ttl,
		RenewInterval: leaseRenewInterval,
		OutageGrace:   storeOutageTolerance,
		CampaignDelay: campaignDelay(s),
		ReclaimGrace:  reclaimGrace,
	}
}

// ownershipSettings returns the timing of key grants.
func ownershipSettings(s *Settings, keys int) ownership.Settings {
	return ownership.Settings{
		Host:             s.Host,
		Keys:             keys,
		GrantDuration:    min(grantDuration, s.LongestGrant),
		RenewInterval:    min(grantDuration, s.LongestGrant) / 4,
		RetryInterval:    150 * time.Millisecond,
		OrderTimeout:     orderTimeout,
		OrderLifetime:    max(s.OrderLifetime, orderTimeout),
		PredecessorGrace: storeOutageTolerance,
	}
}

const (
	// orderTimeout limits how long an order to a backend server may take. Its connection is reset afterwards.
	orderTimeout = 500 * time.Millisecond
	// grantDuration is how long keys are granted. It is also how long the keys of a lost backend server are without
	// an owner, and how long a newly elected gateway has to take over renewal.
	grantDuration = 5 * time.Second
	// leaseRenewInterval is the time between two renewals of the elected gateway's lease. The other gateways rely on
	// the elected one only while it reaches the store.
	leaseRenewInterval = 300 * time.Millisecond
	// reclaimGrace is how long after the store came back from an earlier copy the elected gateway has to write its record
	// again. It exceeds the time in which a renewal fails or succeeds.
	reclaimGrace = 1500 * time.Millisecond
	// storeOutageTolerance is how long the elected gateway keeps renewing grants while the store is unreachable.
	storeOutageTolerance = 12 * time.Second
)

func plannerSettings(keys int) ownership.PlannerSettings {
	return ownership.PlannerSettings{Keys: keys, Tolerance: 1.25, IdleUtilization: 0.4, MaxMoves: 8, MinRate: 5}
}

// campaignDelay returns how long a gateway waits before it campaigns. Hosts with the most processor time campaign
// first, because the elected gateway has the most work; a hash of the host name spreads hosts with equal processor
// time.
func campaignDelay(s *Settings) time.Duration {
	slot := 0
	for _, char := range []byte(s.Host) {
		slot = (slot*31 + int(char)) % campaignSlots
	}
	cpuDeficit := 1 - min(s.Cores, 1)
	return time.Duration(slot)*campaignSlotDelay + time.Duration(cpuDeficit*float64(maxCPUDelay))
}

const (
	campaignSlots     = 16
	campaignSlotDelay = 6 * time.Millisecond
	// maxCPUDelay is the additional delay of a host with almost no processor time.
	maxCPUDelay = 250 * time.Millisecond
)
