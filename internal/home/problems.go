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
	return refuse(outcome.KindNotHome, "the backend server of the key has another home now; send the request again")
}

func leaseEnded() *outcome.Problem {
	return refuse(outcome.KindNotHome, "the home lease of this gateway has ended; send the request again")
}

func draining() *outcome.Problem {
	return refuse(outcome.KindDraining, "the backend server takes no new requests; send the request again")
}

func serverDown() *outcome.Problem {
	return refuse(outcome.KindConnect, "the backend server does not answer; send the request again to another one")
}

func deadlinePassed() *outcome.Problem {
	return outcome.New(outcome.KindDeadline, http.StatusGatewayTimeout, outcome.NotExecuted,
		"the request did not get a slot before its deadline; send it again with more time")
}

func clientCanceled() *outcome.Problem {
	return refuse(outcome.KindCanceled, "the caller gave up while the request was waiting; send it again")
}

func queueFull() *outcome.Problem {
	problem := refuse(outcome.KindQueueFull,
		"the queue is full and the subscriber has the most waiting requests; send fewer at a time")
	problem.RetryAfter = retryAfterFull
	return problem
}

func identityRecordFull() *outcome.Problem {
	problem := refuse(outcome.KindQueueFull, "too many requests with an identity are running; send it again later")
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
		"the request identity is older than the record of this home, so an earlier request may have run; "+
			"find out whether it ran, then use a new identity")
}

func repeatedRequest(entry *identityEntry) *outcome.Problem {
	detail := "a request with this identity may have run; find out whether it ran before sending it again"
	if entry.result == outcome.Executed {
		detail = "a request with this identity was executed and answered with status " +
			http.StatusText(entry.status) + "; do not send it again"
	}
	return outcome.New(outcome.KindRepeated, http.StatusConflict, entry.result, detail)
}

func stillRunning() *outcome.Problem {
	problem := outcome.New(outcome.KindRepeated, http.StatusConflict, outcome.Unknown,
		"a request with this identity is still running; ask again later")
	problem.RetryAfter = retryAfterFull
	return problem
}
