package backend

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSealed is returned by writes after the connection was sealed.
var errSealed = errors.New("connection is sealed after a failed request; use a new connection")

// guardedConn tells each request whether a byte of it was written, and can rule out further writes.
type guardedConn struct {
	net.Conn

	mu sync.Mutex // mu protects the fields below
	// current is the request that uses the connection. A connection can go to the next request before the
	// caller of the last one has seen its answer, so the connection itself cannot say what was written.
	current *attempt
	// sealed is true once no write may begin.
	sealed bool
	// writing is true while a write is in progress.
	writing bool
}

// Write sends p, unless the connection is sealed.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.startWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.endWrite(n)
	return n, err
}

func (c *guardedConn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writing = true
	return true
}

func (c *guardedConn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if n > 0 && c.current != nil {
		c.current.wrote.Store(true)
	}
}

// begin gives the connection to a request.
func (c *guardedConn) begin(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = a
}

// seal rules out that further bytes of the request are written, and closes the connection if the request
// still has it.
func (c *guardedConn) seal(a *attempt) {
	c.mu.Lock()
	if c.current != a {
		c.mu.Unlock()
		return
	}
	c.sealed = true
	if c.writing {
		a.wrote.Store(true)
	}
	c.mu.Unlock()
	// The connection is given up; net/http reports what is wrong with it.
	_ = c.Conn.Close()
}
