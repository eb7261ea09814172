package entry

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

// attemptResult is the result of one attempt to send a request.
type attemptResult int

const (
	// resultResponse is a response to return to the client.
	resultResponse attemptResult = iota
	// resultNotSent means that no byte of the request was sent.
	resultNotSent
	// resultNotExecuted means that the backend server stated that it did not execute the request and never will.
	resultNotExecuted
	// resultFailed is a response by which the backend server fails the request without stating that it did not execute it: a 5xx
	// response, or one whose status promises that. The request was executed, or may have been.
	resultFailed
	// resultTimeout means that no response arrived in time. The request may have been executed.
	resultTimeout
	// resultBodyBroken means that the body of the request broke off while it was forwarded.
	resultBodyBroken
	// resultUnknown means that there is no usable response. The request may have been executed.
	resultUnknown
)

// String returns the name of the result in logs and metrics.
func (r attemptResult) String() string {
	return [...]string{"answer", "not-sent", "not-run", "failed", "timeout", "body-broken", "unknown"}[r]
}

// classify returns the result of an attempt.
func classify(response *serverconn.Response, err error) attemptResult {
	switch {
	case errors.Is(err, serverconn.ErrNotSent):
		return resultNotSent
	case errors.Is(err, serverconn.ErrRequestBody):
		return resultBodyBroken
	case errors.Is(err, serverconn.ErrTimeout):
		return resultTimeout
	case err != nil:
		return resultUnknown
	case response.Metadata.NotExecuted:
		return resultNotExecuted
	case response.Status < http.StatusMultipleChoices && !response.Metadata.Signed:
		return resultUnknown
	case response.Status >= http.StatusInternalServerError || outcome.PromisesNotExecuted(response.Status):
		return resultFailed
	default:
		return resultResponse
	}
}

// serverOutcome returns what the result implies about the backend server. excused is set if a failure or a refusal does not: the server
// is not the owner of the key, or holds requests off. hadTime is set if the time limit of the attempt was at least the expected
// response time.
func (r attemptResult) serverOutcome(excused, hadTime bool) suspicion.Outcome {
	switch r {
	case resultNotSent:
		return suspicion.NoResponse
	case resultBodyBroken:
		return suspicion.NoInformation
	case resultTimeout:
		if hadTime {
			return suspicion.NoResponse
		}
		return suspicion.Late
	case resultUnknown:
		return suspicion.ConnectionLost
	case resultFailed:
		if excused {
			return suspicion.OK
		}
		return suspicion.Failed
	case resultNotExecuted:
		if excused {
			return suspicion.OK
		}
		return suspicion.Refused
	default:
		return suspicion.OK
	}
}
