package home

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/fairqueue"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// retryAfterFull is the Retry-After of refusals because of a full queue or a running request.
const retryAfterFull = time.Second

func refuse(kind outcome.Kind, detail string) *outcome.Problem {
	return outcome.New(kind, http.StatusServiceUnavailable, outcome.NotExecuted, detail)
}

func notHome() *outcome.Problem {
	return refuse(outcome.KindNotHome, "the backend server for this request now has a different home; retry the request")
}

func leaseEnded() *outcome.Problem {
	return refuse(outcome.KindNotHome, "the home lease of this gateway has expired; retry the request")
}

func draining() *outcome.Problem {
	return refuse(outcome.KindDraining, "the backend server is draining and accepts no new requests; retry the request")
}

func serverDown() *outcome.Problem {
	return refuse(outcome.KindConnect, "the backend server does not respond; retry the request on another one")
}

func deadlinePassed() *outcome.Problem {
	return outcome.New(outcome.KindDeadline, http.StatusGatewayTimeout, outcome.NotExecuted,
		"the request did not get a slot before its deadline; retry with a longer timeout")
}

func clientCanceled() *outcome.Problem {
	return refuse(outcome.KindCanceled, "the client canceled the request while it was waiting; retry the request")
}

func queueFull() *outcome.Problem {
	problem := refuse(outcome.KindQueueFull,
		"the queue is full and this subscriber has the most waiting requests; send fewer concurrent requests")
	problem.RetryAfter = retryAfterFull
	return problem
}

func identityRecordFull() *outcome.Problem {
	problem := refuse(outcome.KindQueueFull, "too many requests with an identity are running; retry later")
	problem.RetryAfter = retryAfterFull
	return problem
}

// queueProblem returns the problem for an error of the queue.
func queueProblem(err error) *outcome.Problem {
	if errors.Is(err, fairqueue.ErrDeadline) {
		return outcome.New(outcome.KindDeadline, http.StatusServiceUnavailable, outcome.NotExecuted, err.Error())
	}
	problem := outcome.New(outcome.KindQueueFull, http.StatusTooManyRequests, outcome.NotExecuted, err.Error())
	problem.RetryAfter = retryAfterFull
	return problem
}

func identityTooOld() *outcome.Problem {
	return outcome.New(outcome.KindIdentityTooOld, http.StatusConflict, outcome.Unknown,
		"the request identity is older than the record of this home, so an earlier request may have been executed; "+
			"find out whether it was executed, then use a new identity")
}

func repeatedRequest(entry *identityEntry) *outcome.Problem {
	detail := "a request with this identity may have been executed; find out whether it was before sending it again"
	if entry.result == outcome.Executed {
		detail = "a request with this identity was executed and answered with status " +
			http.StatusText(entry.status) + "; do not send it again"
	}
	return outcome.New(outcome.KindRepeated, http.StatusConflict, entry.result, detail)
}

func stillRunning() *outcome.Problem {
	problem := outcome.New(outcome.KindRepeated, http.StatusConflict, outcome.Unknown,
		"a request with this identity is still running; retry later")
	problem.RetryAfter = retryAfterFull
	return problem
}
