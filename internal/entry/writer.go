package entry

import (
	"time"
)

// writeResponses writes the responses in the order of the requests.
func (c *clientConn) writeResponses() {
	failed := false
	for r := c.nextRequest(); r != nil; r = c.nextRequest() {
		resp := c.nextResponse(r)
		c.server.inFlight.Add(-1)
		closes := c.endRequest(resp.close || r.closeAfter)
		if failed || resp.status == statusClientGone {
			r.memory.Release()
			continue
		}
		resp.close = closes
		err := c.writeResponse(r, resp)
		r.memory.Release()
		if err != nil {
			failed = true
			c.cancel()
			c.linger(0)
			continue
		}
		if closes {
			c.shutdownWrite()
		}
	}
}

// nextRequest returns the next request to answer, or nil if there is none and none follows.
func (c *clientConn) nextRequest() *request {
	if len(c.behind) == 0 {
		return <-c.pending
	}
	r := c.behind[0]
	c.behind = c.behind[1:]
	return r
}

func (c *clientConn) writeResponse(r *request, resp *response) error {
	if err := c.tcp.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.tcp.Write(resp.encode(r.http.Method))
	return err
}
