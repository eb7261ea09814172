package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// handle routes the call until it is answered, refused for good, or out of time.
func (g *Gateway) handle(ctx context.Context, c *call) (*backend.Response, *outcome.Problem) {
	var hold holdTimer
	mayHaveRun := false
	for {
		v := g.view.Load()
		c.route = v.services[c.request.Service]
		if c.route == nil {
			return nil, outcome.New(outcome.KindNoSuchService, http.StatusNotFound, outcome.NotRun,
				"the service was removed from the configuration")
		}
		answer, problem := g.attempt(ctx, v, c)
		if problem == nil {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || problem.Outcome != outcome.NotRun
		if ctx.Err() != nil || !g.mayRepeat(c, problem) || !g.hold(ctx, &hold, problem) {
			return nil, finalProblem(problem, mayHaveRun)
		}
		g.options.Observer.Retried(c.request.Service)
	}
}

// finalProblem keeps a refusal of the last attempt from hiding that an earlier attempt may have run.
func finalProblem(p *outcome.Problem, mayHaveRun bool) *outcome.Problem {
	if p.Outcome != outcome.NotRun || !mayHaveRun {
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
		return nil, problem
	}
	defer g.chooser.started(c.request.Service, t)()
	if t.host == v.Self {
		return g.local(ctx, c, t.server)
	}
	if c.hops >= maxHops {
		return nil, outcome.New(outcome.KindHopLimit, http.StatusServiceUnavailable, outcome.NotRun,
			"gateways disagree about the owner; try again")
	}
	return g.forward(ctx, v, c, t)
}

// mayRepeat reports whether the call may be sent again after the problem. A request that may have run is
// sent again only if it is idempotent and the retry budget allows it.
func (g *Gateway) mayRepeat(c *call, p *outcome.Problem) bool {
	switch p.Outcome {
	case outcome.NotRun:
		return isTransient(p.Kind)
	case outcome.Unknown:
		return c.request.Idempotent && c.hops == 0 && isTransient(p.Kind) && g.budgets.spend(c.request.Service, time.Now())
	default:
		return false
	}
}

// isTransient reports whether another attempt can have another result within the deadline of a request.
func isTransient(k outcome.Kind) bool {
	switch k {
	case outcome.KindNoOwner, outcome.KindNoHome, outcome.KindNotHome, outcome.KindConnect, outcome.KindHopLimit,
		outcome.KindStaleGrant, outcome.KindDraining, outcome.KindConnectionLost, outcome.KindNoServer, outcome.KindShed:
		return true
	default:
		return false
	}
}
