package node

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/peer"
)

var errUnreachable = errors.New("address is not reachable")

// network is an in-memory network, with which complete gateways run on the fake clock of testing/synctest.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// isolated holds the names of hosts that are partitioned from all others.
	isolated      map[string]bool
	conns         map[string][]net.Conn
	hostByAddress map[string]string
}

func newNetwork() *network {
	return &network{
		listeners:     make(map[string]*pipeListener),
		isolated:      make(map[string]bool),
		conns:         make(map[string][]net.Conn),
		hostByAddress: make(map[string]string),
	}
}

type pipeListener struct {
	network *network
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

// listen returns the function of a host for Options.Listen.
func (n *network) listen(host string) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		l := &pipeListener{network: n, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
		n.listeners[address] = l
		n.hostByAddress[address] = host
		return l, nil
	}
}

// dial returns the function of a host for Options.Dial.
func (n *network) dial(host string) peer.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[address]
		to := n.hostByAddress[address]
		reachable := ok && (host == to || !n.isolated[host] && !n.isolated[to])
		n.mu.Unlock()
		if !reachable {
			return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errUnreachable}
		}
		local, remote := net.Pipe()
		select {
		case l.accept <- remote:
		case <-l.closed:
			return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.trackConnection(host, to, local)
		return local, nil
	}
}

func (n *network) trackConnection(from, to string, conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from != to {
		n.conns[from] = append(n.conns[from], conn)
		n.conns[to] = append(n.conns[to], conn)
	}
}

// isolate partitions a host from all others and closes its connections to them.
func (n *network) isolate(host string) {
	n.mu.Lock()
	n.isolated[host] = true
	conns := n.conns[host]
	n.conns[host] = nil
	n.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}
