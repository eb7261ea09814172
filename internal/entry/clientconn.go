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
	// maxPending bounds the requests of one connection that are not answered yet.
	maxPending = 64
	// idleSlack keeps a connection open somewhat longer than callers are told.
	idleSlack = 2 * time.Second
	// writeTimeout bounds the time in which a caller takes an answer.
	writeTimeout = 5 * time.Second
	// lingerTimeout bounds the wait for the caller's end of a connection after the last answer: closing earlier
	// could reset the connection before the caller has read it.
	lingerTimeout   = 500 * time.Millisecond
	readBufferBytes = 4 << 10
)

// clientConn is a connection of a caller. One goroutine reads requests, one writes answers in the same order.
type clientConn struct {
	server  *Server
	tcp     *net.TCPConn
	limited *io.LimitedReader
	reader  *bufio.Reader
	pending chan *request
	// leave is done when the caller has left.
	leave  context.Context
	cancel context.CancelFunc

	// mu protects the fields below.
	mu sync.Mutex
	// open counts requests that are read or being read and not answered yet.
	open int
	// ending is true once no further request is taken.
	ending bool
}

func newClientConn(server *Server, tcp *net.TCPConn) *clientConn {
	limited := &io.LimitedReader{R: tcp}
	leave, cancel := context.WithCancel(context.Background())
	return &clientConn{
		server:  server,
		tcp:     tcp,
		limited: limited,
		reader:  bufio.NewReaderSize(limited, readBufferBytes),
		pending: make(chan *request, maxPending),
		leave:   leave,
		cancel:  cancel,
	}
}

func (c *clientConn) serve() {
	c.server.add(c)
	defer c.server.remove(c)
	// The caller may have gone; there is nobody to tell.
	defer c.tcp.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.pending)
	<-written
	c.cancel()
}

// read takes requests until the caller leaves or the connection ends.
func (c *clientConn) read() {
	for {
		limits := c.server.limits()
		if !c.awaitRequest(limits) {
			return
		}
		r, failure := c.readRequest(limits)
		if failure != nil {
			c.refuse(r, failure)
			return
		}
		if r == nil {
			c.cancel()
			return
		}
		if !c.begin() {
			// The last answer said that the connection ends, so the caller sends this request again.
			return
		}
		c.server.running.Add(1)
		c.pending <- r
		go func() { r.answered <- c.server.answer(c.leave, r) }()
		if r.closeAfter {
			c.watchLeave()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *clientConn) awaitRequest(limits connLimits) bool {
	// A failure shows on the next read.
	_ = c.tcp.SetReadDeadline(time.Now().Add(limits.idleTimeout + idleSlack))
	c.limited.N = int64(limits.maxHeaderBytes) + readBufferBytes
	for {
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if isTimeout(err) && c.hasOpen() {
			// A caller that waits for an answer is not idle.
			_ = c.tcp.SetReadDeadline(time.Now().Add(limits.idleTimeout + idleSlack))
			continue
		}
		if !isTimeout(err) {
			c.cancel()
		}
		return false
	}
}

// watchLeave notices that the caller of the last request leaves.
func (c *clientConn) watchLeave() {
	_ = c.tcp.SetReadDeadline(time.Time{})
	c.limited.N = readBufferBytes
	for {
		if _, err := c.reader.ReadByte(); err != nil {
			if !isTimeout(err) {
				c.cancel()
			}
			return
		}
	}
}

// refuse answers a request that could not be read, and ends the connection.
func (c *clientConn) refuse(r *request, failure *answer) {
	if !c.begin() {
		return
	}
	c.server.running.Add(1)
	failure.close = true
	c.pending <- r
	r.answered <- failure
}

// begin counts a request, unless the connection is ending.
func (c *clientConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return false
	}
	c.open++
	return true
}

// end takes a request off the count, and reports whether the connection ends with its answer.
func (c *clientConn) end(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if last || c.open == 0 && c.server.draining.Load() {
		c.ending = true
	}
	return c.ending && c.open == 0
}

func (c *clientConn) hasOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > 0
}

// closeIfIdle ends the connection if no request is open.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 {
		return
	}
	c.ending = true
	// The read then ends with a timeout.
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
}
