package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// memoryListener accepts in-memory connections, which are created by net.Pipe.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.conns <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Open connections are not closed.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr{} }

type memoryAddr struct{}

func (memoryAddr) Network() string { return "memory" }
func (memoryAddr) String() string  { return "memory" }

// slowListener counts connections and accepts them with a delay.
type slowListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. It sleeps for the configured delay before it returns a connection.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if delay := l.server.options.ConnectionDelay; delay > 0 {
		time.Sleep(delay)
	}
	l.server.mu.Lock()
	l.server.counters.Connections++
	l.server.mu.Unlock()
	return conn, nil
}

// idleConns is the set of connections without a request in progress.
type idleConns struct {
	mu    sync.Mutex // mu protects the fields below
	conns map[net.Conn]struct{}
}

// track updates the set on a state change of a connection. It is the ConnState hook of http.Server.
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
		_ = conn.Close() // the connection is dropped on purpose
	}
}

// connState is the state of a connection, carried in the context of its requests.
type connState struct {
	requests atomic.Int64
}

type connStateKey struct{}

func withConnState(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connStateKey{}, new(connState))
}

// countConnRequest counts a request of a connection and reports whether the connection is reused.
func countConnRequest(ctx context.Context) bool {
	state := ctx.Value(connStateKey{}).(*connState)
	return state.requests.Add(1) > 1
}
