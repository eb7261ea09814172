package gateway

import (
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// writeResponse sends the response to the client. A truncated response aborts the client's connection, so that it
// cannot appear complete.
func (g *Gateway) writeResponse(w http.ResponseWriter, c *call, response *backend.Response, start time.Time) {
	defer response.Body.Close()
	copyHeader(w.Header(), response.Header)
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	// If the connection does not support deadlines, the response is sent without a time limit.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	w.WriteHeader(response.Status)
	written, err := io.Copy(w, response.Body)
	complete := err == nil && (response.ContentLength < 0 || written == response.ContentLength)
	if !complete && c.request.Method != http.MethodHead {
		g.options.Observer.RequestCompleted(c.request.Service, response.Status, outcome.Unknown, time.Since(start))
		panic(http.ErrAbortHandler)
	}
	g.options.Observer.RequestCompleted(c.request.Service, response.Status, outcome.Executed, time.Since(start))
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func (g *Gateway) writeProblem(w http.ResponseWriter, service string, start time.Time, p *outcome.Problem) {
	p.Write(w)
	g.options.Observer.RequestCompleted(service, p.Status, p.Outcome, time.Since(start))
}

func (g *Gateway) recordRefusal(c *call, p *outcome.Problem) {
	g.options.Events.Record(timeline.Event{
		Kind:    "request/refused",
		Host:    g.options.Self,
		Service: c.request.Service,
		Key:     c.request.Key,
		Request: hex.EncodeToString(c.request.ID[:]),
		Detail:  p.Outcome.String() + ": " + p.Error(),
	})
}
