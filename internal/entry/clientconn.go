package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxPending limits the number of unanswered requests of one connection.
	maxPending = 64
	// idleMargin is how much longer a connection is kept open than the idle timeout that clients are told.
	idleMargin = 2 * time.Second
	// writeStall is how long a client may take nothing of a response that is being written.
	writeStall      = 5 * time.Second
	readBufferBytes = 4 << 10
)

// clientConn is a client connection. One goroutine reads requests, another writes the responses in the same order.
type clientConn struct {
	server  *Server
	tcp     *net.TCPConn
	source  *errorReader
	limited *io.LimitedReader
	reader  *bufio.Reader
	pending chan *request
	// behind are the requests that the writer has taken from pending ahead of time.
	behind []*request
	// writeMu is held while a response, or an interim one, is written.
	writeMu sync.Mutex
	// ctx is canceled when the client disconnects.
	ctx    context.Context
	cancel context.CancelFunc

	// mu protects the fields below.
	mu sync.Mutex
	// openRequests counts requests that have been read and are not answered yet.
	openRequests int
	// reading is set while a request is being read, and writing while a response is being written.
	reading, writing bool
	// lingerUntil is set once the last response has been written, or one could not be written: from then on, what the client
	// sends is discarded until this time.
	lingerUntil time.Time
	// closing is set once a response has announced that the connection closes. No further request is accepted.
	closing bool
}

func newClientConn(server *Server, tcp *net.TCPConn) *clientConn {
	source := &errorReader{Reader: tcp}
	limited := &io.LimitedReader{R: source}
	ctx, cancel := context.WithCancel(context.Background())
	return &clientConn{
		server:  server,
		tcp:     tcp,
		source:  source,
		limited: limited,
		reader:  bufio.NewReaderSize(limited, readBufferBytes),
		pending: make(chan *request, maxPending),
		ctx:     ctx,
		cancel:  cancel,
	}
}

func (c *clientConn) serve() {
	defer c.server.removeConn(c)
	// An error means that the client has already disconnected.
	defer c.tcp.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses()
	}()
	c.readRequests()
	close(c.pending)
	<-written
	c.cancel()
}

// readRequests reads requests until the client disconnects or the connection is closed.
func (c *clientConn) readRequests() {
	for {
		limits := c.server.limits()
		if !c.awaitRequest(limits) {
			return
		}
		c.startReading()
		r, failure := c.readRequest(limits)
		if failure != nil {
			c.reject(r, failure)
			c.watchDisconnect()
			return
		}
		if r == nil {
			c.cancel()
			return
		}
		if !c.beginRequest() {
			// The last response announced that the connection closes, so the client sends this request again.
			r.memory.Release()
			c.watchDisconnect()
			return
		}
		c.server.inFlight.Add(1)
		c.pending <- r
		go c.respond(r)
		if !r.awaitBody() || r.closeAfter {
			c.watchDisconnect()
			return
		}
	}
}

// respond handles a request. If its body has not arrived completely by then, the connection closes after the response.
func (c *clientConn) respond(r *request) {
	response := c.server.respond(c.ctx, r)
	if r.rest != nil && !r.rest.abandon() {
		response.close = true
	}
	r.responded <- response
}

// awaitRequest waits for the first byte of a request.
func (c *clientConn) awaitRequest(limits connLimits) bool {
	c.limitRead(limits.idleTimeout + idleMargin)
	c.limited.N = int64(limits.maxHeaderBytes) + readBufferBytes
	for {
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if isTimeout(err) && c.awaitsResponse() {
			// A client that waits for a response is not idle.
			c.limitRead(limits.idleTimeout + idleMargin)
			continue
		}
		if !isTimeout(err) {
			c.cancel()
		}
		return false
	}
}

// reject responds to a request that could not be read, and closes the connection.
func (c *clientConn) reject(r *request, failure *response) {
	if !c.beginRequest() {
		r.memory.Release()
		return
	}
	c.server.inFlight.Add(1)
	failure.close = true
	c.pending <- r
	r.responded <- failure
}

// startReading records that a request is being read, so that a shutdown does not close the connection.
func (c *clientConn) startReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
}

// beginRequest counts an open request. It returns false if the connection is closing.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.openRequests++
	return true
}

// endRequest removes a request, whose response is written next, from the count and reports whether the connection closes after
// that.
func (c *clientConn) endRequest(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRequests--
	c.writing = true
	if last || c.openRequests == 0 && c.server.draining.Load() {
		c.closing = true
	}
	return c.closing && c.openRequests == 0
}

// endResponse records that the response to a request has been written, or is not written.
func (c *clientConn) endResponse(r *request) {
	r.memory.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}

// awaitsResponse reports whether the client waits for a response that can still be written, or reads one.
func (c *clientConn) awaitsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.openRequests > 0 || c.writing) && c.lingerUntil.IsZero()
}
