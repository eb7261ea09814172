package dev

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// stallPoll is the interval at which a stalled connection looks whether the network has healed.
const stallPoll = 5 * time.Millisecond

// stallConn is a connection that stalls while the network between its ends is cut.
type stallConn struct {
	net.Conn
	isCut  func() bool
	closed chan struct{}
	once   sync.Once
	// writeEnd is the deadline of writes in Unix nanoseconds, or 0.
	writeEnd atomic.Int64
}

func newStallConn(conn net.Conn, isCut func() bool) *stallConn {
	return &stallConn{Conn: conn, isCut: isCut, closed: make(chan struct{})}
}

// Read returns data only while the network is not cut. Data that arrived during the cut waits.
func (c *stallConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	// Data must not be lost to a deadline, so that only the end of the connection ends the wait.
	if stallErr := c.wait(nil); stallErr != nil {
		return 0, stallErr
	}
	return n, err
}

// Write waits until the network is not cut.
func (c *stallConn) Write(p []byte) (int, error) {
	if err := c.wait(&c.writeEnd); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// wait returns once the network is not cut, the connection is closed or the deadline is over.
func (c *stallConn) wait(deadline *atomic.Int64) error {
	for c.isCut() {
		if end := deadlineOf(deadline); end != 0 && time.Now().UnixNano() > end {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(stallPoll):
		}
	}
	return nil
}

func deadlineOf(deadline *atomic.Int64) int64 {
	if deadline == nil {
		return 0
	}
	return deadline.Load()
}

// Close implements net.Conn.
func (c *stallConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *stallConn) SetDeadline(t time.Time) error {
	c.writeEnd.Store(deadlineNanos(t))
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *stallConn) SetWriteDeadline(t time.Time) error {
	c.writeEnd.Store(deadlineNanos(t))
	return c.Conn.SetWriteDeadline(t)
}

func deadlineNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
