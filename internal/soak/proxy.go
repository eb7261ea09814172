package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// chunks is the room for pieces of bytes that a proxy holds back in each direction.
const chunks = 4096

// Proxy passes connections on to an address, with faults. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	// mu protects the fields below.
	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
	// open is closed while bytes pass.
	open   chan struct{}
	silent bool
	delay  time.Duration
	broken bool
}

// NewProxy starts a proxy on a free port of the loopback interface.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[*net.TCPConn]struct{}), open: make(chan struct{})}
	close(p.open)
	go p.accept()
	return p, nil
}

// Addr returns the address to connect to.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget changes the address to which new connections are passed on, and resets the others.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.resetAll()
}

// Stall holds all bytes back until Heal. What is held back arrives then, unless its sender has reset the connection.
func (p *Proxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.silent {
		p.silent = true
		p.open = make(chan struct{})
	}
}

// SetDelay lets each piece of bytes arrive later.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Disconnect resets all connections and every new one until Heal.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	p.broken = true
	p.mu.Unlock()
	p.resetAll()
}

// ClearFaults ends all faults.
func (p *Proxy) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken, p.delay = false, 0
	if p.silent {
		p.silent = false
		close(p.open)
	}
}

// Close ends the proxy with its connections.
func (p *Proxy) Close() {
	// The listener is not used any more either way.
	_ = p.listener.Close()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset ends a connection and discards what was not delivered.
func reset(conn *net.TCPConn) {
	// The connection may have ended already.
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(accepted.(*net.TCPConn))
	}
}

func (p *Proxy) serve(caller *net.TCPConn) {
	p.mu.Lock()
	target, broken := p.target, p.broken
	p.mu.Unlock()
	if broken {
		reset(caller)
		return
	}
	dialed, err := net.Dial("tcp4", target)
	if err != nil {
		reset(caller)
		return
	}
	server := dialed.(*net.TCPConn)
	if !p.track(caller, server) {
		reset(caller)
		reset(server)
		return
	}
	defer p.untrack(caller, server)
	var both sync.WaitGroup
	both.Go(func() { p.pass(caller, server) })
	both.Go(func() { p.pass(server, caller) })
	both.Wait()
}

// track notes connections that a later fault resets. It reports false if they have to be reset now.
func (p *Proxy) track(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken {
		return false
	}
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
	return true
}

func (p *Proxy) untrack(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close()
	}
}

// pass copies one direction until it ends.
func (p *Proxy) pass(from, to *net.TCPConn) {
	queue := make(chan []byte, chunks)
	gone := make(chan struct{})
	var written sync.WaitGroup
	written.Go(func() { p.write(to, queue, gone) })
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- buffer[:n]
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			// The sender has reset the connection: what is held back is lost.
			close(gone)
			reset(to)
		}
		close(queue)
		written.Wait()
		return
	}
}

// write writes what was read, as the faults allow.
func (p *Proxy) write(to *net.TCPConn, queue <-chan []byte, gone <-chan struct{}) {
	for piece := range queue {
		p.mu.Lock()
		open, delay := p.open, p.delay
		p.mu.Unlock()
		select {
		case <-open:
		case <-gone:
			return
		}
		time.Sleep(delay)
		if _, err := to.Write(piece); err != nil {
			break
		}
	}
	// The other side may have gone.
	_ = to.CloseWrite()
	for range queue {
		// The reader must not wait for room.
	}
}
