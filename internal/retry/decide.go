package retry

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// MaxAttempts limits the attempts per request, including the first one.
const MaxAttempts = 3

// Decision is the action to take for a failed request.
type Decision int

const (
	// Stop returns the error to the caller.
	Stop Decision = iota
	// RouteAgain looks up the home gateway again and forwards the request to it. It needs no retry budget: the
	// home gateway refused the request without contacting a backend server, and the hop limit bounds the number of
	// repetitions.
	RouteAgain
	// SendAgain sends the request to a backend server again, preferably to a different one. It consumes retry
	// budget.
	SendAgain
)

// String returns the name of the decision.
func (d Decision) String() string {
	switch d {
	case RouteAgain:
		return "route-again"
	case SendAgain:
		return "send-again"
	default:
		return "stop"
	}
}

// Failure describes a failed attempt of a request.
type Failure struct {
	Problem    *outcome.Problem
	Idempotent bool
	// Rewindable is true if the complete request body is buffered, or the request has none.
	Rewindable bool
	// Attempts is the number of attempts made so far.
	Attempts int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Needed is the expected duration of another attempt.
	Needed time.Duration
}

// decisionByKind lists the kinds of problems for which another attempt can help. All other kinds map to Stop.
var decisionByKind = map[outcome.Kind]Decision{
	outcome.KindNotHome:        RouteAgain,
	outcome.KindNoHome:         RouteAgain,
	outcome.KindNoOwner:        RouteAgain,
	outcome.KindNoServer:       RouteAgain,
	outcome.KindHopLimit:       RouteAgain,
	outcome.KindNoConfig:       RouteAgain,
	outcome.KindStaleGrant:     SendAgain,
	outcome.KindShed:           SendAgain,
	outcome.KindDraining:       SendAgain,
	outcome.KindConnect:        SendAgain,
	outcome.KindConnectionLost: SendAgain,
	outcome.KindBadAnswer:      SendAgain,
	outcome.KindTimeout:        SendAgain,
}

// Decide returns whether and how a request may be retried. Sending to a backend server again is still subject to
// the retry budget. A request that may have been executed is retried only if it is idempotent.
func Decide(f Failure) Decision {
	decision := decisionByKind[f.Problem.Kind]
	switch {
	case decision == Stop:
		return Stop
	case f.Problem.Outcome == outcome.Ran:
		return Stop
	case f.Problem.Outcome == outcome.Unknown && !f.Idempotent:
		return Stop
	case !f.Rewindable || f.Attempts >= MaxAttempts:
		return Stop
	case f.Remaining <= f.Needed:
		return Stop
	case decision == RouteAgain && f.Problem.Outcome != outcome.NotRun:
		return SendAgain
	default:
		return decision
	}
}
