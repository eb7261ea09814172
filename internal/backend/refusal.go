package backend

import (
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Refusal is the reason for which a backend server refused a request before running it.
type Refusal string

// Reasons of refusals.
const (
	RefusedStaleToken Refusal = "stale-token"
	RefusedNoGrant    Refusal = "no-grant"
	RefusedShed       Refusal = "shed"
	RefusedDeadline   Refusal = "deadline"
	RefusedDraining   Refusal = "draining"
)

// shedRetryAfter is the pause that callers are asked to keep after a server shed load.
const shedRetryAfter = time.Second

var refusalKinds = map[Refusal]outcome.Kind{
	RefusedStaleToken: outcome.KindStaleGrant,
	RefusedNoGrant:    outcome.KindStaleGrant,
	RefusedShed:       outcome.KindShed,
	RefusedDeadline:   outcome.KindDeadline,
	RefusedDraining:   outcome.KindDraining,
}

// refusalOf returns the problem for an answer that refuses the request before running it, or nil. Other
// status codes and reasons are answers, because only the listed ones promise that nothing ran.
func refusalOf(status int, h http.Header) *outcome.Problem {
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
	problem.RetryAfter = shedRetryAfter
	return problem
}
