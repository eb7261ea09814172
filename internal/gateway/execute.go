package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/retry"
)

// execute routes the request and retries it until there is a response, a final failure, or the deadline expires.
func (g *Gateway) execute(ctx context.Context, c *call) (*backend.Response, *outcome.Problem) {
	g.retryBudgets.countRequest(c.request.Service)
	var wait retryWait
	mayHaveExecuted := false
	for {
		table := g.table.Load()
		c.route = table.services[c.request.Service]
		if c.route == nil {
			removed := outcome.New(outcome.KindNoSuchService, http.StatusNotFound, outcome.NotExecuted,
				"the service was removed from the configuration")
			return nil, finalProblem(removed, mayHaveExecuted)
		}
		response, problem := g.attempt(ctx, table, c)
		if problem == nil {
			return response, nil
		}
		mayHaveExecuted = mayHaveExecuted || problem.Outcome != outcome.NotExecuted
		if ctx.Err() != nil || !g.mayRetry(ctx, c, problem) || !g.waitBeforeRetry(ctx, &wait, problem) {
			return nil, finalProblem(problem, mayHaveExecuted)
		}
		g.options.Observer.RequestRetried(c.request.Service)
	}
}

// attempt selects a target and sends the request to it once.
func (g *Gateway) attempt(ctx context.Context, table *RoutingTable, c *call) (*backend.Response, *outcome.Problem) {
	t, problem := g.selectTarget(table, c)
	if problem != nil {
		g.reportAttempt(c, 0, problem)
		return nil, problem
	}
	start := time.Now()
	response, problem := g.send(ctx, table, c, t)
	if problem == nil {
		response, problem = checkPromise(response)
	}
	g.reportAttempt(c, time.Since(start), problem)
	if problem != nil && !c.route.Keyed {
		c.failedServers = append(c.failedServers, t.server)
	}
	return response, problem
}

func (g *Gateway) send(ctx context.Context, table *RoutingTable, c *call, t target) (*backend.Response, *outcome.Problem) {
	if t.host == table.Self {
		return g.executeLocal(ctx, c, t.server)
	}
	if c.hops >= maxHops {
		return nil, outcome.New(outcome.KindHopLimit, http.StatusServiceUnavailable, outcome.NotExecuted,
			"gateways disagree about the owner; try again")
	}
	return g.forward(ctx, table, c, t)
}

// reportAttempt reports the result of an attempt to the balancer, if the balancer selected its server.
func (g *Gateway) reportAttempt(c *call, took time.Duration, p *outcome.Problem) {
	if c.balancedServer == "" {
		return
	}
	if p == nil {
		g.balancers.reportLoad(c.request.Service, c.balancedServer, c.loadPercent)
	}
	g.balancers.complete(c.request.Service, c.balancedServer, took, p)
	c.balancedServer = ""
}

// mayRetry reports whether the request may be retried after the problem. It consumes retry budget if the retry goes to
// a backend server again.
func (g *Gateway) mayRetry(ctx context.Context, c *call, p *outcome.Problem) bool {
	if p.Outcome != outcome.NotExecuted {
		c.attempts++
	}
	deadline, _ := ctx.Deadline()
	decision := retry.Decide(retry.Failure{
		Problem:    p,
		Idempotent: c.request.Idempotent,
		Rewindable: true,
		Attempts:   c.attempts,
		Remaining:  time.Until(deadline),
	})
	switch decision {
	case retry.Reroute:
		return true
	case retry.Resend:
		return g.retryBudgets.takeRetry(c.request.Service)
	default:
		return false
	}
}
