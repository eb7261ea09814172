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

// respond passes the answer on. An answer that is cut aborts the caller's connection, so that it cannot look
// complete.
func (g *Gateway) respond(w http.ResponseWriter, c *call, answer *backend.Response, start time.Time) {
	defer answer.Body.Close()
	copyHeader(w.Header(), answer.Header)
	if answer.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	// A failure means that the connection has no deadlines; the answer is then sent without a bound.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	w.WriteHeader(answer.Status)
	written, err := io.Copy(w, answer.Body)
	complete := err == nil && (answer.ContentLength < 0 || written == answer.ContentLength)
	if !complete && c.request.Method != http.MethodHead {
		g.options.Observer.Answered(c.request.Service, answer.Status, outcome.Unknown, time.Since(start))
		panic(http.ErrAbortHandler)
	}
	g.options.Observer.Answered(c.request.Service, answer.Status, outcome.Executed, time.Since(start))
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func (g *Gateway) refuse(w http.ResponseWriter, service string, start time.Time, p *outcome.Problem) {
	p.Write(w)
	g.options.Observer.Answered(service, p.Status, p.Outcome, time.Since(start))
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
