package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/control"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/metrics"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Options configures a Node.
type Options struct {
	Host string
	Team string
	// PeerAddress, CallerAddress and AdminAddress are the listen addresses for other gateways, clients and operators, as
	// IP address and port.
	PeerAddress   string
	CallerAddress string
	AdminAddress  string
	// Seeds holds peer addresses by host name. These gateways are queried for the first configuration.
	Seeds map[string]string
	Store store.Store
	// Dial connects to other gateways and to backend servers. Default: TCP.
	Dial peer.DialFunc
	// Listen opens the listeners. Default: TCP.
	Listen func(address string) (net.Listener, error)
	Events *timeline.Log
	Logs   *logging.Loggers
	// Tokens holds the bearer tokens of operators. Default: none, so that every call of the administration API is
	// refused.
	Tokens *admin.Tokens
}

// Node is one running gateway process.
type Node struct {
	options      Options
	start        time.Time
	log          *logrus.Entry
	pool         *peer.Pool
	gateway      *gateway.Gateway
	dispatchers  *dispatchers
	metrics      *metrics.Metrics
	loop         *control.Loop
	peerServer   *peer.Server
	clientServer *http.Server
	adminServer  *http.Server
	listeners    []net.Listener
	cancel       context.CancelFunc
}

// ErrListen means that the process cannot listen on an address of the settings.
var ErrListen = errors.New("cannot listen; check that the address belongs to this host and that no other process uses the port")

// Start opens the listeners and starts the control loop.
func Start(o Options) (*Node, error) {
	if o.Dial == nil {
		o.Dial = peer.DialTCP
	}
	if o.Listen == nil {
		o.Listen = listenTCP
	}
	n := &Node{options: o, start: time.Now(), log: o.Logs.Component("node"), metrics: metrics.New()}
	n.metrics.RegisterDroppedEvents(o.Events.Dropped)
	n.options.Store = n.metrics.InstrumentStore(o.Store)
	n.pool = peer.NewPool(o.Dial)
	n.dispatchers = newDispatchers(n.start, o.Dial, o.Events, n.metrics)
	n.dispatchers.log = o.Logs.Component("home")
	n.gateway = gateway.New(gateway.Options{
		Self:        o.Host,
		Dispatchers: n.dispatchers,
		Peers:       n.pool,
		Events:      o.Events,
		Observer:    requestObserver{n.metrics},
	})
	n.loop = control.New(n.controlOptions())
	n.dispatchers.reporter = n.loop
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.loop.Run(ctx)
	n.log.WithField("host", o.Host).Info("Started.")
	return n, nil
}

func (n *Node) controlOptions() control.Options {
	o := n.options
	return control.Options{
		Host:        o.Host,
		Team:        o.Team,
		Incarnation: newIncarnation(),
		Seed:        rand.Uint64(),
		Seeds:       o.Seeds,
		Sender:      countingSender{n.pool, n.metrics},
		Store:       o.Store,
		Start:       n.start,
		Clock:       o.Events,
		Recorder:    o.Events,
		Publisher:   &publisher{host: o.Host, dispatchers: n.dispatchers, gateway: n.gateway, metrics: n.metrics},
		Log:         o.Logs.Component("control"),
	}
}

// newIncarnation returns a random value other than 0.
func newIncarnation() uint64 {
	for {
		if incarnation := rand.Uint64(); incarnation != 0 {
			return incarnation
		}
	}
}

// peerHandler handles the frames of other gateways: the Gateway handles requests, the Loop control messages and the
// Node queries.
type peerHandler struct {
	*gateway.Gateway
	*control.Loop
	node *Node
}

// HandleQuery responds to a query of another gateway.
func (h peerHandler) HandleQuery(payload []byte) []byte { return h.node.HandleQuery(payload) }

func (n *Node) listen() error {
	peerListener, err := n.openListener(n.options.PeerAddress)
	if err != nil {
		return err
	}
	clientListener, err := n.openListener(n.options.CallerAddress)
	if err != nil {
		return err
	}
	adminListener, err := n.openListener(n.options.AdminAddress)
	if err != nil {
		return err
	}
	n.peerServer = peer.NewServer(peerHandler{n.gateway, n.loop, n})
	n.clientServer = &http.Server{
		Handler:           n.gateway,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    gateway.MaxHeaderBytes,
		ErrorLog:          newHTTPErrorLog(n.log),
	}
	n.adminServer = &http.Server{
		Handler:           n.adminHandler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          newHTTPErrorLog(n.log),
	}
	go func() { _ = n.adminServer.Serve(adminListener) }()
	go func() { _ = n.peerServer.Serve(peerListener) }()
	go func() { _ = n.clientServer.Serve(clientListener) }()
	return nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (n *Node) openListener(address string) (net.Listener, error) {
	listener, err := n.options.Listen(address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "listen on %s", address), ErrListen)
	}
	n.listeners = append(n.listeners, listener)
	return listener, nil
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// Host returns the name of the node's host.
func (n *Node) Host() string { return n.options.Host }

// CallerAddress returns the listen address for clients.
func (n *Node) CallerAddress() string { return n.options.CallerAddress }

// Status returns a copy of the state of the control loop, or false if the loop has ended.
func (n *Node) Status() (control.Status, bool) { return n.loop.Status() }

// Gateway returns the request path.
func (n *Node) Gateway() *gateway.Gateway { return n.gateway }

// Loop returns the control loop.
func (n *Node) Loop() *control.Loop { return n.loop }
