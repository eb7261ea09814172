package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/retry"
)

// handle routes the call until it is answered, refused for good, or out of time.
func (g *Gateway) handle(ctx context.Context, c *call) (*backend.Response, *outcome.Problem) {
	g.budgets.sent(c.request.Service)
	var hold holdTimer
	mayHaveRun := false
	for {
		v := g.view.Load()
		c.route = v.services[c.request.Service]
		if c.route == nil {
			removed := outcome.New(outcome.KindNoSuchService, http.StatusNotFound, outcome.NotExecuted,
				"the service was removed from the configuration")
			return nil, finalProblem(removed, mayHaveRun)
		}
		answer, problem := g.attempt(ctx, v, c)
		if problem == nil {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || problem.Outcome != outcome.NotExecuted
		if ctx.Err() != nil || !g.mayRepeat(ctx, c, problem) || !g.hold(ctx, &hold, problem) {
			return nil, finalProblem(problem, mayHaveRun)
		}
		g.options.Observer.Retried(c.request.Service)
	}
}

// finalProblem keeps a refusal of the last attempt from hiding that an earlier attempt may have run.
func finalProblem(p *outcome.Problem, mayHaveRun bool) *outcome.Problem {
	if p.Outcome != outcome.NotExecuted || !mayHaveRun {
		return p
	}
	unknown := *p
	unknown.Outcome = outcome.Unknown
	unknown.Detail = "an earlier attempt may have run, and the last one was refused: " + p.Detail
	return &unknown
}

// attempt sends the call to one target.
func (g *Gateway) attempt(ctx context.Context, v *View, c *call) (*backend.Response, *outcome.Problem) {
	t, problem := g.target(v, c)
	if problem != nil {
		g.finish(c, 0, problem)
		return nil, problem
	}
	start := time.Now()
	answer, problem := g.send(ctx, v, c, t)
	g.finish(c, time.Since(start), problem)
	if problem != nil && !c.route.Keyed {
		c.avoid = append(c.avoid, t.server)
	}
	return answer, problem
}

func (g *Gateway) send(ctx context.Context, v *View, c *call, t target) (*backend.Response, *outcome.Problem) {
	if t.host == v.Self {
		return g.local(ctx, c, t.server)
	}
	if c.hops >= maxHops {
		return nil, outcome.New(outcome.KindHopLimit, http.StatusServiceUnavailable, outcome.NotExecuted,
			"gateways disagree about the owner; try again")
	}
	return g.forward(ctx, v, c, t)
}

// finish tells the balancer how the attempt ended.
func (g *Gateway) finish(c *call, took time.Duration, p *outcome.Problem) {
	if c.picked == "" {
		return
	}
	if p == nil {
		g.balancers.reported(c.request.Service, c.picked, c.load)
	}
	g.balancers.done(c.request.Service, c.picked, took, p)
	c.picked = ""
}

// mayRepeat reports whether the call may be sent again after the problem.
func (g *Gateway) mayRepeat(ctx context.Context, c *call, p *outcome.Problem) bool {
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
		return g.budgets.spend(c.request.Service)
	default:
		return false
	}
}
