package retry

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// MaxAttempts bounds how often one request is sent, with the first time.
const MaxAttempts = 3

// Decision says what to do with a failed request.
type Decision int

const (
	// Stop returns the problem to the caller.
	Stop Decision = iota
	// Reroute looks up the home again and sends the request there. It needs no budget, because the home
	// refused the request without asking a backend server, and hops bound it.
	Reroute
	// Resend sends the request once more, elsewhere if there is a choice. It needs budget.
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

// Failure is a request that failed.
type Failure struct {
	Problem    *outcome.Problem
	Idempotent bool
	// Rewindable is true if the complete body is at hand, or there is none.
	Rewindable bool
	// Attempts counts how often the request was sent.
	Attempts int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// ExpectedDuration is the time that one more attempt is expected to take.
	ExpectedDuration time.Duration
}

// again says what to do for the kinds of problems that another attempt can help with. All other kinds stop.
var again = map[outcome.Kind]Decision{
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
	outcome.KindTimeout:        Resend,
}

// Decide says whether the request may be sent again. SendAgain is subject to the budget. A request that may
// have run is sent again only if it is idempotent.
func Decide(f Failure) Decision {
	decision := again[f.Problem.Kind]
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
