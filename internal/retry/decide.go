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
	// Stop returns the error to the client.
	Stop Decision = iota
	// Reroute looks up the home gateway again and forwards the request to it. It needs no retry budget: the
	// home gateway refused the request without contacting a backend server, and the hop limit bounds the number of
	// repetitions.
	Reroute
	// Resend sends the request to a backend server again, preferably to a different one. It consumes retry
	// budget.
	Resend
)

// String returns the name of the decision.
func (d Decision) String() string {
	switch d {
	case Reroute:
		return "route-again"
	case Resend:
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
	// Remaining is the time until the client's deadline.
	Remaining time.Duration
	// ExpectedDuration is the expected duration of another attempt.
	ExpectedDuration time.Duration
}

// decisionByKind lists the kinds of problems for which another attempt can help. All other kinds map to Stop.
var decisionByKind = map[outcome.Kind]Decision{
	outcome.KindNotHome:        Reroute,
	outcome.KindNoHome:         Reroute,
	outcome.KindNoOwner:        Reroute,
	outcome.KindNoServer:       Reroute,
	outcome.KindHopLimit:       Reroute,
	outcome.KindNoConfig:       Reroute,
	outcome.KindStaleGrant:     Resend,
	outcome.KindShed:           Resend,
	outcome.KindDraining:       Resend,
	outcome.KindConnect:        Resend,
	outcome.KindConnectionLost: Resend,
	outcome.KindBadResponse:    Resend,
	outcome.KindFailed:         Resend,
	outcome.KindTimeout:        Resend,
}

// Decide returns whether and how a request may be retried. Sending to a backend server again is still subject to
// the retry budget. A request that may have been executed is retried only if it is idempotent.
func Decide(f Failure) Decision {
	decision := decisionByKind[f.Problem.Kind]
	switch {
	case decision == Stop:
		return Stop
	case f.Problem.Outcome == outcome.Executed:
		return Stop
	case f.Problem.Outcome == outcome.Unknown && !f.Idempotent:
		return Stop
	case !f.Rewindable || f.Attempts >= MaxAttempts:
		return Stop
	case f.Remaining <= f.ExpectedDuration:
		return Stop
	case decision == Reroute && f.Problem.Outcome != outcome.NotExecuted:
		return Resend
	default:
		return decision
	}
}
