package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// queueLength is the number of reads that a proxy buffers in each direction of a connection.
	queueLength = 64
	// bufferBytes is the size of the system's buffers for each direction of a connection. It is small, so that a long request is
	// still being written when its server resets the connection.
	bufferBytes = 64 << 10
)

// Proxy is a TCP proxy with fault injection. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	// mu protects target and the fields below.
	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
	// resumed is closed while the proxy is not stalled.
	resumed chan struct{}
	stalled bool
	delay   time.Duration
	// resetting is true while all connections are reset.
	resetting bool
	// keeping is true while data is kept whose sender resets its connection.
	keeping bool
}

// NewProxy starts a proxy for a target address on a free port of the loopback interface.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[*net.TCPConn]struct{}), resumed: make(chan struct{})}
	close(p.resumed)
	go p.acceptConns()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget changes the target address of new connections and resets the existing ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.resetAll()
}

// Stall stalls all connections until the faults are cleared. The buffered data is then delivered, unless its sender
// has reset the connection.
func (p *Proxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stalled {
		p.stalled = true
		p.resumed = make(chan struct{})
	}
}

// KeepAfterReset makes the proxy keep the data of connections that their senders reset while it is on, as a network does whose
// resets are lost.
func (p *Proxy) KeepAfterReset(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keeping = on
}

// keepsData reports whether data is kept whose sender has reset its connection.
func (p *Proxy) keepsData() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeping
}

// SetDelay adds a latency to each write.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Disconnect resets all connections, and every new one until the faults are cleared.
func (p *Proxy) Disconnect() {
	p.mu.Lock()
	p.resetting = true
	p.mu.Unlock()
	p.resetAll()
}

// ClearFaults clears all faults.
func (p *Proxy) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetting, p.delay = false, 0
	if p.stalled {
		p.stalled = false
		close(p.resumed)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	// The listener is no longer used, so an error has no consequence.
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

// reset closes a connection by a TCP reset, which discards undelivered data.
func reset(conn *net.TCPConn) {
	// The connection may be closed already.
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// acceptConns accepts connections until the listener is closed.
func (p *Proxy) acceptConns() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(accepted.(*net.TCPConn))
	}
}

// forward connects a client to the target and copies data in both directions until the connections are closed.
func (p *Proxy) forward(downstream *net.TCPConn) {
	p.mu.Lock()
	target, resetting := p.target, p.resetting
	p.mu.Unlock()
	if resetting {
		reset(downstream)
		return
	}
	dialed, err := net.Dial("tcp4", target)
	if err != nil {
		reset(downstream)
		return
	}
	upstream := dialed.(*net.TCPConn)
	if !p.track(downstream, upstream) {
		reset(downstream)
		reset(upstream)
		return
	}
	defer p.untrack(downstream, upstream)
	gatewayEnd, gatewayErr := newProxyEnd(downstream)
	serverEnd, serverErr := newProxyEnd(upstream)
	if gatewayErr != nil || serverErr != nil {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.copyData(gatewayEnd, serverEnd) })
	copies.Go(func() { p.copyData(serverEnd, gatewayEnd) })
	copies.Wait()
}

// track registers connections so that a later fault can reset them. It returns false if the proxy is resetting
// connections, so that these must be reset too.
func (p *Proxy) track(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resetting {
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

// copyData copies one direction of a connection until the sender closes it.
func (p *Proxy) copyData(from, to proxyEnd) {
	queue := make(chan []byte, queueLength)
	senderReset := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { p.writeQueued(to, queue, senderReset) })
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- buffer[:n]
		}
		if err == nil {
			continue
		}
		if (!errors.Is(err, io.EOF) || from.writer.SawReset()) && !p.keepsData() {
			// The sender has reset the connection, so the buffered data is discarded.
			close(senderReset)
			reset(to.TCPConn)
		}
		close(queue)
		writer.Wait()
		return
	}
}

// writeQueued writes the queued data to a connection, subject to the current stall and delay.
func (p *Proxy) writeQueued(to proxyEnd, queue <-chan []byte, senderReset <-chan struct{}) {
	for data := range queue {
		p.mu.Lock()
		resumed, delay := p.resumed, p.delay
		p.mu.Unlock()
		select {
		case <-resumed:
		case <-senderReset:
			return
		}
		time.Sleep(delay)
		if _, err := to.writer.Write(data); err != nil {
			break
		}
	}
	// The receiver may have closed the connection already.
	_ = to.CloseWrite()
	for range queue {
		// Drain the queue so that the reader does not block on a full one.
	}
}
