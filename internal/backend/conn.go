package backend

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
)

// errConnClosed is returned by writes after closeFor.
var errConnClosed = errors.New("connection is sealed after a failed request; use a new connection")

// writeTrackingConn is a connection that records for each request whether any byte of it was written and that
// can prevent further writes.
type writeTrackingConn struct {
	*httpcheck.Conn

	mu sync.Mutex // mu protects the fields below
	// current is the request that uses the connection. net/http can reassign the connection before the caller
	// of the previous request has seen its response, so writes are recorded per request, not per connection.
	current *attempt
	// closed is true if no further write may start.
	closed bool
	// writing is true while a write is in progress.
	writing bool
}

// Write implements net.Conn. It fails without writing after closeFor.
func (c *writeTrackingConn) Write(p []byte) (int, error) {
	if !c.startWrite() {
		return 0, errConnClosed
	}
	n, err := c.Conn.Write(p)
	c.endWrite(n)
	return n, err
}

func (c *writeTrackingConn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.writing = true
	return true
}

func (c *writeTrackingConn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if n > 0 && c.current != nil {
		c.current.mayHaveWritten.Store(true)
	}
}

// assign sets the current request of the connection.
func (c *writeTrackingConn) assign(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = a
}

// closeFor closes the connection and prevents further writes if a is still its current request. A write in
// progress counts as written. If the connection was reassigned, closeFor does nothing, because the
// connection belongs to another request.
func (c *writeTrackingConn) closeFor(a *attempt) {
	c.mu.Lock()
	if c.current != a {
		c.mu.Unlock()
		return
	}
	c.closed = true
	if c.writing {
		a.mayHaveWritten.Store(true)
	}
	c.mu.Unlock()
	// The close error is ignored: net/http reports the failure of the connection.
	_ = c.Conn.Close()
}
