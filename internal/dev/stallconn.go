package dev

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// stallPollInterval is the interval at which a stalled connection checks whether the network is still cut.
const stallPollInterval = 5 * time.Millisecond

// stallConn is a connection that stalls while the network between its ends is cut.
type stallConn struct {
	net.Conn
	isCut     func() bool
	closed    chan struct{}
	closeOnce sync.Once
	// writeDeadline is the write deadline in Unix nanoseconds, or 0 for none.
	writeDeadline atomic.Int64
}

func newStallConn(conn net.Conn, isCut func() bool) *stallConn {
	return &stallConn{Conn: conn, isCut: isCut, closed: make(chan struct{})}
}

// Read returns data only while the network is not cut. Data that arrives during a cut is returned after it.
func (c *stallConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	// The data is already read and would be lost at a deadline, so only Close ends the wait.
	if stallErr := c.waitWhileCut(nil); stallErr != nil {
		return 0, stallErr
	}
	return n, err
}

// Write waits until the network is not cut, then writes.
func (c *stallConn) Write(p []byte) (int, error) {
	if err := c.waitWhileCut(&c.writeDeadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// waitWhileCut waits until the network is not cut, the connection is closed or the deadline has passed.
func (c *stallConn) waitWhileCut(deadline *atomic.Int64) error {
	for c.isCut() {
		if end := loadDeadline(deadline); end != 0 && time.Now().UnixNano() > end {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(stallPollInterval):
		}
	}
	return nil
}

func loadDeadline(deadline *atomic.Int64) int64 {
	if deadline == nil {
		return 0
	}
	return deadline.Load()
}

// Close implements net.Conn.
func (c *stallConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *stallConn) SetDeadline(t time.Time) error {
	c.writeDeadline.Store(deadlineNanos(t))
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *stallConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(deadlineNanos(t))
	return c.Conn.SetWriteDeadline(t)
}

func deadlineNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
