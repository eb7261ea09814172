package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// memoryListener accepts connections made by net.Pipe.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a fixed address.
func (l *memoryListener) Addr() net.Addr { return memoryAddr{} }

type memoryAddr struct{}

func (memoryAddr) Network() string { return "memory" }
func (memoryAddr) String() string  { return "memory" }

// costlyListener counts connections and spends the connection cost on each.
type costlyListener struct {
	net.Listener
	server *Server
}

// Accept spends the connection cost before the connection is served.
func (l *costlyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if cost := l.server.options.ConnectionDelay; cost > 0 {
		time.Sleep(cost)
	}
	l.server.mu.Lock()
	l.server.counters.Connections++
	l.server.mu.Unlock()
	return conn, nil
}

// idleConns holds the connections without a request in progress.
type idleConns struct {
	mu    sync.Mutex // mu protects the fields below
	conns map[net.Conn]struct{}
}

// track follows the state of a connection.
func (i *idleConns) track(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = make(map[net.Conn]struct{})
	}
	if state == http.StateIdle {
		i.conns[conn] = struct{}{}
	} else {
		delete(i.conns, conn)
	}
}

// CloseIdleConnections closes the connections that have no request in progress.
func (s *Server) CloseIdleConnections() {
	s.idle.mu.Lock()
	defer s.idle.mu.Unlock()
	for conn := range s.idle.conns {
		_ = conn.Close() // the cut is the point
	}
}

// connState follows one connection.
type connState struct {
	requests atomic.Int64
}

type connStateKey struct{}

func withConnState(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connStateKey{}, new(connState))
}

// reused counts a request and reports whether its connection carried one before.
func reused(ctx context.Context) bool {
	state := ctx.Value(connStateKey{}).(*connState)
	return state.requests.Add(1) > 1
}
