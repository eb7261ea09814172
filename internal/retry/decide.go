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
	// RouteAgain looks up the home again and sends the request there. It needs no budget, because the home
	// refused the request without asking a backend server, and hops bound it.
	RouteAgain
	// SendAgain sends the request once more, elsewhere if there is a choice. It needs budget.
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
	// Needed is the time that one more attempt is expected to take.
	Needed time.Duration
}

// again says what to do for the kinds of problems that another attempt can help with. All other kinds stop.
var again = map[outcome.Kind]Decision{
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

// Decide says whether the request may be sent again. SendAgain is subject to the budget. A request that may
// have run is sent again only if it is idempotent.
func Decide(f Failure) Decision {
	decision := again[f.Problem.Kind]
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
