package backend

import (
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Refusal is the reason for which a backend server refused a request before executing it.
type Refusal string

// Reasons for refusing a request.
const (
	RefusedStaleToken Refusal = "stale-token"
	RefusedNoGrant    Refusal = "no-grant"
	RefusedShed       Refusal = "shed"
	RefusedDeadline   Refusal = "deadline"
	RefusedDraining   Refusal = "draining"
)

// refusalRetryAfter is the Retry-After delay suggested to clients after a refusal.
const refusalRetryAfter = time.Second

var refusalKinds = map[Refusal]outcome.Kind{
	RefusedStaleToken: outcome.KindStaleGrant,
	RefusedNoGrant:    outcome.KindStaleGrant,
	RefusedShed:       outcome.KindShed,
	RefusedDeadline:   outcome.KindDeadline,
	RefusedDraining:   outcome.KindDraining,
}

// refusalProblem returns the problem for a response that refuses the request before execution, or nil. All
// other status codes and reasons are regular responses, because only the listed ones guarantee that the request
// was not executed.
func refusalProblem(status int, h http.Header) *outcome.Problem {
	switch status {
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests:
	default:
		return nil
	}
	reason := Refusal(h.Get(HeaderRefused))
	kind, ok := refusalKinds[reason]
	if !ok {
		return nil
	}
	problem := outcome.New(kind, http.StatusServiceUnavailable, outcome.NotExecuted,
		"the backend server refused the request before running it ("+string(reason)+"); send it again")
	problem.RetryAfter = refusalRetryAfter
	return problem
}
