package entry

import (
	"net/http"
	"time"
)

// finishPollInterval is how often a connection checks, shortly before the process ends, whether responses wait behind an
// unanswered request.
const finishPollInterval = 10 * time.Millisecond

// Finish makes the server send the responses that wait behind an earlier request of their connection, because the process
// is about to end. The earlier request is answered as one whose outcome is not known.
func (s *Server) Finish() { s.finishOnce.Do(func() { close(s.finishing) }) }

// nextResponse returns the response to a request, the first one that is not answered on the connection. Once the server
// finishes, it gives up on a request that keeps others from being answered.
func (c *clientConn) nextResponse(r *request) *response {
	select {
	case resp := <-r.responded:
		return resp
	case <-c.server.finishing:
	}
	ticker := time.NewTicker(finishPollInterval)
	defer ticker.Stop()
	for {
		select {
		case resp := <-r.responded:
			return resp
		case <-ticker.C:
		}
		c.readAhead()
		if len(r.responded) == 0 && c.hasWaitingResponse() {
			return gatewayResponse(http.StatusBadGateway, "gateway stops; the request may have run")
		}
	}
}

// readAhead collects the requests behind the first one that is not answered.
func (c *clientConn) readAhead() {
	for {
		select {
		case r, open := <-c.pending:
			if !open {
				return
			}
			c.behind = append(c.behind, r)
		default:
			return
		}
	}
}

// hasWaitingResponse reports whether a request behind the first one that is not answered has its response.
func (c *clientConn) hasWaitingResponse() bool {
	for _, r := range c.behind {
		if len(r.responded) > 0 {
			return true
		}
	}
	return false
}
