package entry

import (
	"time"
)

// write returns the answers in the order of the requests.
func (c *clientConn) write() {
	broken := false
	for r := range c.pending {
		a := <-r.answered
		c.server.running.Add(-1)
		ends := c.end(a.close || r.closeAfter)
		if broken || a.status == statusAbandoned {
			continue
		}
		a.close = ends
		if err := c.writeAnswer(r, a); err != nil {
			broken = true
			c.cancel()
			c.stopReading()
			continue
		}
		if ends {
			c.linger()
		}
	}
}

func (c *clientConn) writeAnswer(r *request, a *answer) error {
	if err := c.tcp.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.tcp.Write(a.encode(r.http.Method))
	return err
}

// linger says that nothing follows and lets the reader see the caller's end of the connection.
func (c *clientConn) linger() {
	// The caller may have gone; then there is nothing to wait for.
	_ = c.tcp.CloseWrite()
	_ = c.tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// stopReading ends the reader.
func (c *clientConn) stopReading() {
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
}
