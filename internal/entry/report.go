package entry

import (
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
)

// report releases the reservation and records the result of the last attempt, including what it implies about the backend
// server. limit is the time that the attempt had. disconnected is set if the client has left, so that the attempt says nothing
// about the server.
func (f *forwarder) report(
	reservation *dispatch.Reservation, limit time.Duration, err error, started time.Duration, disconnected bool,
) {
	r := f.lastResult
	result := dispatch.Result{NotSent: r == resultNotSent, RunTimeValid: r == resultResponse}
	if f.last != nil {
		f.usedConns = append(f.usedConns, f.last.Conn)
		f.addStatements(&result, reservation)
	}
	if !disconnected {
		excused := f.misdirected() || r == resultNotExecuted && result.Statement.HoldOff > 0
		result.Outcome = r.serverOutcome(excused, limit >= reservation.Expected)
	}
	f.handler.Dispatcher.Done(reservation, result)
	f.countAttempt(reservation)
	if f.misdirected() {
		f.avoidOwner(reservation)
	}
	f.handler.Metrics.CountAttempt(r.String())
	f.record(decision{
		message: decisionSent, reservation: reservation, result: r, response: f.last, err: err,
		duration: f.handler.Clock() - started,
	})
}

// misdirected reports whether the server of the last attempt says that it is not the one for the request.
func (f *forwarder) misdirected() bool {
	return f.last != nil && f.last.Status == http.StatusMisdirectedRequest
}

// addStatements adds what the last response states about its server.
func (f *forwarder) addStatements(result *dispatch.Result, reservation *dispatch.Reservation) {
	metadata := f.last.Metadata
	result.Load, result.HasLoad = metadata.Load, metadata.HasLoad
	result.RateLimit, result.HasRateLimit = metadata.RateLimit, metadata.HasRateLimit
	result.ServerReplaced = f.misdirected() && metadata.Instance != "" && metadata.Instance != reservation.Server.ID
	result.Responded = !result.ServerReplaced
	if result.Responded && f.answersRequest(metadata) {
		result.Statement = serverstate.Statement{
			Leaving: metadata.Leaving, HoldOff: metadata.HoldOff, InvalidHoldOff: metadata.InvalidHoldOff,
		}
	}
}

// answersRequest reports whether a response names the request as the one that it belongs to.
func (f *forwarder) answersRequest(metadata exchange.ResponseMetadata) bool {
	return metadata.ID != "" && metadata.ID == f.metadata.ID
}

// countAttempt counts the last attempt.
func (f *forwarder) countAttempt(reservation *dispatch.Reservation) {
	if f.lastResult == resultNotSent {
		f.unsent++
		return
	}
	f.sends++
	f.acquireRequest.Tried = append(f.acquireRequest.Tried, reservation.Server.Incarnation())
	if f.lastResult != resultNotExecuted {
		f.mayHaveExecuted = true
	}
}

// avoidOwner makes the next attempt wait for another owner of the key than the one that has rejected the request.
func (f *forwarder) avoidOwner(reservation *dispatch.Reservation) {
	f.acquireRequest.StaleToken = reservation.Token
	f.acquireRequest.RetryAt = f.handler.Clock() + staleOwnerDelay
	if f.acquireRequest.HasKey && f.handler.OnOwnerRejection != nil {
		f.handler.OnOwnerRejection(f.acquireRequest.Service, f.acquireRequest.Key, reservation.Server.ID)
	}
}
