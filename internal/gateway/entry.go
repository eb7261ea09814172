package gateway

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	defer g.active.Add(-1)
	if g.active.Add(1) > maxActive {
		g.refuse(w, "", start, overloaded())
		return
	}
	v := g.view.Load()
	if v == nil {
		g.refuse(w, "", start, outcome.New(outcome.KindNoConfig, http.StatusServiceUnavailable, outcome.NotExecuted,
			"the gateway has no configuration yet; try again or use another gateway"))
		return
	}
	c, problem := parse(v, r, start)
	if problem != nil {
		g.refuse(w, "", start, problem)
		return
	}
	w.Header().Set(HeaderRequestID, hex.EncodeToString(c.request.ID[:]))
	g.serve(w, r, c, start)
}

func overloaded() *outcome.Problem {
	p := outcome.New(outcome.KindQueueFull, http.StatusServiceUnavailable, outcome.NotExecuted,
		"the gateway has too many requests in progress; try again later")
	p.RetryAfter = overloadRetryAfter
	return p
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call, start time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), c.request.Deadline)
	defer cancel()
	// The connection's own deadline ends reads of a body that never ends.
	_ = http.NewResponseController(w).SetReadDeadline(c.request.Deadline)
	body, release, problem := g.readBody(ctx, r)
	if problem != nil {
		g.refuse(w, c.request.Service, start, problem)
		return
	}
	defer release()
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	c.request.ContentLength = int64(len(body))
	answer, problem := g.handle(ctx, c)
	if problem != nil {
		g.recordRefusal(c, problem)
		g.refuse(w, c.request.Service, start, problem)
		return
	}
	g.respond(w, c, answer, start)
}
