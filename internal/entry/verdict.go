package entry

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

// verdict is what one send of a request came to.
type verdict int

const (
	// verdictAnswer is an answer to return.
	verdictAnswer verdict = iota
	// verdictNotSent means that no byte left.
	verdictNotSent
	// verdictNotRun means that the backend server said that it did not run the request and never will.
	verdictNotRun
	// verdictFailed is an answer of the backend server that reports a failure. The request ran.
	verdictFailed
	// verdictTimeout means that no answer came in time. The request may have run.
	verdictTimeout
	// verdictUnknown means that there is no usable answer. The request may have run.
	verdictUnknown
)

// String returns the name of the verdict in logs.
func (v verdict) String() string {
	return [...]string{"answer", "not-sent", "not-run", "failed", "timeout", "unknown"}[v]
}

// judge tells what a send came to.
func judge(a *serverconn.Response, err error) verdict {
	switch {
	case errors.Is(err, serverconn.ErrNotSent):
		return verdictNotSent
	case errors.Is(err, serverconn.ErrTimeout):
		return verdictTimeout
	case err != nil:
		return verdictUnknown
	case a.Metadata.NotExecuted:
		return verdictNotRun
	case a.Status < http.StatusMultipleChoices && !a.Metadata.Signed:
		return verdictUnknown
	case a.Status >= http.StatusInternalServerError:
		return verdictFailed
	default:
		return verdictAnswer
	}
}

// outcome returns what a verdict says about the backend server. slow is true if the request had little time.
func (v verdict) outcome(misdirected, hadTime bool) suspicion.Outcome {
	switch v {
	case verdictNotSent:
		return suspicion.NoResponse
	case verdictTimeout:
		if hadTime {
			return suspicion.NoResponse
		}
		return suspicion.Failed
	case verdictUnknown:
		return suspicion.ConnectionLost
	case verdictFailed:
		return suspicion.Failed
	case verdictNotRun:
		if misdirected {
			return suspicion.OK
		}
		return suspicion.Refused
	default:
		return suspicion.OK
	}
}
