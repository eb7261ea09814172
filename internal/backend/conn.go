package backend

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSealed is returned by writes after the connection was sealed.
var errSealed = errors.New("connection is sealed after a failed request; use a new connection")

// guardedConn knows whether bytes of the current request were written, and can rule out further writes.
type guardedConn struct {
	net.Conn

	mu sync.Mutex // mu protects the fields below
	// sealed is true once no write may begin.
	sealed bool
	// writing is true while a write is in progress.
	writing bool
	// wrote is true once a byte of the current request was written.
	wrote bool
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
	c.wrote = c.wrote || n > 0
}

// begin marks the start of a request.
func (c *guardedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal rules out further writes and reports whether a byte of the current request was or may be written.
func (c *guardedConn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	wrote := c.wrote || c.writing
	c.mu.Unlock()
	// The connection is given up; net/http reports what is wrong with it.
	_ = c.Conn.Close()
	return wrote
}
