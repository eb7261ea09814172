package home

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Do executes a request on the backend server. Every error is an *outcome.Problem. The slot is free again
// when the body of the response was read to its end or closed.
func (d *Dispatcher) Do(ctx context.Context, req *backend.Request) (*backend.Response, error) {
	for {
		t := newTicket(req)
		earlier, problem := d.admit(t)
		if problem != nil {
			return nil, problem
		}
		if earlier == nil {
			return d.dispatch(ctx, t)
		}
		if problem := awaitEarlier(ctx, req, earlier); problem != nil {
			return nil, problem
		}
	}
}

// dispatch waits for the slot of an admitted request and sends the request.
func (d *Dispatcher) dispatch(ctx context.Context, t *ticket) (*backend.Response, error) {
	if t.ready != nil {
		if problem := d.awaitSlot(ctx, t); problem != nil {
			return nil, problem
		}
	}
	response, err := d.backend.Do(ctx, &t.sent)
	if err != nil {
		problem := asProblem(err)
		d.failed(t, problem)
		return nil, problem
	}
	d.answered(t, response.Status)
	if response.ContentLength == 0 || t.req.Method == http.MethodHead {
		d.completed(t)
		return response, nil
	}
	response.Body = &answerBody{source: response.Body, dispatcher: d, ticket: t}
	return response, nil
}

// awaitSlot returns nil once the ticket is started.
func (d *Dispatcher) awaitSlot(ctx context.Context, t *ticket) *outcome.Problem {
	timer := time.NewTimer(time.Until(t.req.Deadline))
	defer timer.Stop()
	var problem *outcome.Problem
	select {
	case <-t.ready:
	case <-ctx.Done():
		problem = gaveUp()
	case <-timer.C:
		problem = deadlinePassed()
	}
	if problem != nil && d.abandonWait(t, problem) {
		return problem
	}
	<-t.ready
	return t.problem
}

// awaitEarlier waits for the outcome of an earlier request with the same identity. It returns nil if the
// earlier request did not run, so that this one may.
func awaitEarlier(ctx context.Context, req *backend.Request, earlier *identityEntry) *outcome.Problem {
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	select {
	case <-earlier.done:
	case <-ctx.Done():
		return stillRunning()
	case <-timer.C:
		return stillRunning()
	}
	if earlier.result == outcome.NotExecuted {
		return nil
	}
	return repeated(earlier)
}

// asProblem returns the problem of an error. An error of another type has an unknown outcome.
func asProblem(err error) *outcome.Problem {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return outcome.New(outcome.KindInternal, http.StatusInternalServerError, outcome.Unknown, err.Error())
}
