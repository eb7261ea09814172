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

// Options are the parts and addresses of a Node.
type Options struct {
	Host string
	Team string
	// PeerAddress, CallerAddress and AdminAddress are the listeners, as IP address and port.
	PeerAddress   string
	CallerAddress string
	AdminAddress  string
	// Seeds are the peer addresses of gateways to ask for a configuration, by host name.
	Seeds map[string]string
	Store store.Store
	// Dial connects to other gateways and to backend servers. Default: TCP.
	Dial peer.DialFunc
	// Listen opens a listener. Default: TCP.
	Listen func(address string) (net.Listener, error)
	Events *timeline.Log
	Logs   *logging.Loggers
	// Tokens are the bearer tokens of operators. Default: none, so that every call is refused.
	Tokens *admin.Tokens
}

// Node is one running gateway process.
type Node struct {
	options   Options
	start     time.Time
	log       *logrus.Entry
	pool      *peer.Pool
	gateway   *gateway.Gateway
	homes     *homes
	metrics   *metrics.Metrics
	loop      *control.Loop
	peers     *peer.Server
	callers   *http.Server
	admin     *http.Server
	listeners []net.Listener
	cancel    context.CancelFunc
}

// ErrListen means that an address of the settings cannot be used.
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
	n.homes = newHomes(n.start, o.Dial, o.Events, n.metrics)
	n.homes.log = o.Logs.Component("home")
	n.gateway = gateway.New(gateway.Options{
		Self:        o.Host,
		Dispatchers: n.homes,
		Peers:       n.pool,
		Events:      o.Events,
		Observer:    requestObserver{n.metrics},
	})
	n.loop = control.New(n.controlOptions())
	n.homes.reports = n.loop
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
		Publisher:   &publisher{host: o.Host, homes: n.homes, gateway: n.gateway, metrics: n.metrics},
		Log:         o.Logs.Component("control"),
	}
}

// newIncarnation returns a random value above 0.
func newIncarnation() uint64 {
	for {
		if incarnation := rand.Uint64(); incarnation != 0 {
			return incarnation
		}
	}
}

// peerHandler passes requests to the traffic and control messages to the loop.
type peerHandler struct {
	*gateway.Gateway
	*control.Loop
	node *Node
}

// HandleQuery answers a query of another gateway.
func (h peerHandler) HandleQuery(payload []byte) []byte { return h.node.HandleQuery(payload) }

func (n *Node) listen() error {
	peers, err := n.open(n.options.PeerAddress)
	if err != nil {
		return err
	}
	callers, err := n.open(n.options.CallerAddress)
	if err != nil {
		return err
	}
	operators, err := n.open(n.options.AdminAddress)
	if err != nil {
		return err
	}
	n.peers = peer.NewServer(peerHandler{n.gateway, n.loop, n})
	n.callers = &http.Server{
		Handler:           n.gateway,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    gateway.MaxHeaderBytes,
		ErrorLog:          httpLog(n.log),
	}
	n.admin = &http.Server{
		Handler:           n.operators(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          httpLog(n.log),
	}
	go func() { _ = n.admin.Serve(operators) }()
	go func() { _ = n.peers.Serve(peers) }()
	go func() { _ = n.callers.Serve(callers) }()
	return nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (n *Node) open(address string) (net.Listener, error) {
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

// CallerAddress returns the address for callers.
func (n *Node) CallerAddress() string { return n.options.CallerAddress }

// Status returns a copy of the control state.
func (n *Node) Status() (control.Status, bool) { return n.loop.Status() }

// Gateway returns the traffic part.
func (n *Node) Gateway() *gateway.Gateway { return n.gateway }

// Loop returns the control part.
func (n *Node) Loop() *control.Loop { return n.loop }
