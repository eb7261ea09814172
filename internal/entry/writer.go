package entry

import (
	"net"
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
			c.endResponse(r)
			continue
		}
		resp.close = closes
		err := c.writeResponse(r, resp)
		c.endResponse(r)
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

// writeResponse writes a response. A client that reads on has until the deadline of its request, and longer only if the response is
// late. One that does not read is given up after Server.writeStall.
func (c *clientConn) writeResponse(r *request, resp *response) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	rest := net.Buffers(resp.encode(r.http.Method))
	end := laterOf(time.Now().Add(c.server.writeStall), resp.deadline)
	for {
		limit := time.Now().Add(c.server.writeStall)
		if limit.After(end) {
			limit = end
		}
		if err := c.tcp.SetWriteDeadline(limit); err != nil {
			return err
		}
		written, err := rest.WriteTo(c.tcp)
		if err == nil {
			return nil
		}
		if !isTimeout(err) || written == 0 || !time.Now().Before(end) {
			return err
		}
	}
}

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// writeContinue tells the client to send the body of its request.
func (c *clientConn) writeContinue() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.tcp.SetWriteDeadline(time.Now().Add(c.server.writeStall)); err != nil {
		return err
	}
	_, err := c.tcp.Write(continueLine)
	return err
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
