package standin

import (
	"net"
	"sync/atomic"
)

// NoByteLimit is a number of bytes that no connection reaches.
const NoByteLimit = 1 << 40

// cutConn fails after a number of bytes in one direction.
type cutConn struct {
	net.Conn
	readLeft  atomic.Int64
	writeLeft atomic.Int64
}

// LimitBytes returns a connection that is closed once the given number of bytes was read or written. The write
// that goes beyond is sent in part.
func LimitBytes(conn net.Conn, readBytes, writeBytes int64) net.Conn {
	cut := &cutConn{Conn: conn}
	cut.readLeft.Store(readBytes)
	cut.writeLeft.Store(writeBytes)
	return cut
}

// Read fails once the bytes that may be read are used up.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.readLeft.Add(-int64(n)) >= 0 {
		return n, err
	}
	_ = c.Conn.Close() // the cut is the point
	return 0, net.ErrClosed
}

// Write sends a part of p once the bytes that may be written are used up.
func (c *cutConn) Write(p []byte) (int, error) {
	left := c.writeLeft.Add(-int64(len(p)))
	if left >= 0 {
		return c.Conn.Write(p)
	}
	fits := max(0, len(p)+int(left))
	n, _ := c.Conn.Write(p[:fits]) // the connection fails in any case
	_ = c.Conn.Close()             // the cut is the point
	return n, net.ErrClosed
}
