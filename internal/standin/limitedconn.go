package standin

import (
	"net"
	"sync/atomic"
)

// NoByteLimit is a byte limit that no connection reaches.
const NoByteLimit = 1 << 40

// limitedConn closes the connection once the byte limit of either direction is exceeded.
type limitedConn struct {
	net.Conn
	readRemaining  atomic.Int64
	writeRemaining atomic.Int64
}

// LimitBytes returns a connection that is closed once more than the given number of bytes was read or written. The
// write that exceeds the limit is sent up to the limit.
func LimitBytes(conn net.Conn, readBytes, writeBytes int64) net.Conn {
	limited := &limitedConn{Conn: conn}
	limited.readRemaining.Store(readBytes)
	limited.writeRemaining.Store(writeBytes)
	return limited
}

// Read implements net.Conn. The read that exceeds the limit fails and returns no data.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.readRemaining.Add(-int64(n)) >= 0 {
		return n, err
	}
	_ = c.Conn.Close() // the caller gets net.ErrClosed in any case
	return 0, net.ErrClosed
}

// Write implements net.Conn. The write that exceeds the limit fails and sends only the part of p within it.
func (c *limitedConn) Write(p []byte) (int, error) {
	remaining := c.writeRemaining.Add(-int64(len(p)))
	if remaining >= 0 {
		return c.Conn.Write(p)
	}
	allowed := max(0, len(p)+int(remaining))
	n, _ := c.Conn.Write(p[:allowed]) // the caller gets net.ErrClosed in any case
	_ = c.Conn.Close()
	return n, net.ErrClosed
}
