package node

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/peer"
)

var errUnreachable = errors.New("address cannot be reached")

// network connects listeners and dialers in memory, so that whole gateways run on the fake time of testing/synctest.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// cut holds the names that cannot reach, or be reached by, anyone else.
	cut   map[string]bool
	conns map[string][]net.Conn
	owner map[string]string
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*pipeListener),
		cut:       make(map[string]bool),
		conns:     make(map[string][]net.Conn),
		owner:     make(map[string]string),
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

// listen returns the Listen function of a host.
func (n *network) listen(host string) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		l := &pipeListener{network: n, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
		n.listeners[address] = l
		n.owner[address] = host
		return l, nil
	}
}

// dial returns the DialFunc of a host.
func (n *network) dial(host string) peer.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[address]
		to := n.owner[address]
		reachable := ok && (host == to || !n.cut[host] && !n.cut[to])
		n.mu.Unlock()
		if !reachable {
			return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errUnreachable}
		}
		near, far := net.Pipe()
		select {
		case l.accept <- far:
		case <-l.closed:
			return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.remember(host, to, near)
		return near, nil
	}
}

func (n *network) remember(from, to string, conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from != to {
		n.conns[from] = append(n.conns[from], conn)
		n.conns[to] = append(n.conns[to], conn)
	}
}

// isolate cuts a host off from all others.
func (n *network) isolate(host string) {
	n.mu.Lock()
	n.cut[host] = true
	conns := n.conns[host]
	n.conns[host] = nil
	n.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}
