package gateway

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// ServeHTTP implements http.Handler for the requests of clients.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) > maxInFlightRequests {
		g.writeProblem(w, "", start, overloadProblem())
		return
	}
	table := g.table.Load()
	if table == nil {
		g.writeProblem(w, "", start, outcome.New(outcome.KindNoConfig, http.StatusServiceUnavailable, outcome.NotExecuted,
			"the gateway has no configuration yet; try again or use another gateway"))
		return
	}
	c, problem := parseRequest(table, r, start)
	if problem != nil {
		g.writeProblem(w, "", start, problem)
		return
	}
	w.Header().Set(HeaderRequestID, hex.EncodeToString(c.request.ID[:]))
	g.serve(w, r, c, start)
}

func overloadProblem() *outcome.Problem {
	p := outcome.New(outcome.KindQueueFull, http.StatusServiceUnavailable, outcome.NotExecuted,
		"the gateway has too many requests in progress; try again later")
	p.RetryAfter = overloadRetryAfter
	return p
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call, start time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), c.request.Deadline)
	defer cancel()
	// The context does not interrupt reads from the connection; the read deadline ends those of a stalled body.
	_ = http.NewResponseController(w).SetReadDeadline(c.request.Deadline)
	body, release, problem := g.readBody(ctx, r)
	if problem != nil {
		g.writeProblem(w, c.request.Service, start, problem)
		return
	}
	defer release()
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	c.request.ContentLength = int64(len(body))
	response, problem := g.execute(ctx, c)
	if problem != nil {
		g.recordRefusal(c, problem)
		g.writeProblem(w, c.request.Service, start, problem)
		return
	}
	g.writeResponse(w, c, response, start)
}
