package home

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Do executes a request on the backend server. Every error is an *outcome.Problem. The slot is freed once the response
// body was read to its end or closed.
func (d *Dispatcher) Do(ctx context.Context, req *backend.Request) (*backend.Response, error) {
	for {
		p := newPendingRequest(req)
		earlier, problem := d.admit(p)
		if problem != nil {
			return nil, problem
		}
		if earlier == nil {
			return d.dispatch(ctx, p)
		}
		if problem := awaitEarlier(ctx, req, earlier); problem != nil {
			return nil, problem
		}
	}
}

// dispatch waits for the slot of an admitted request and sends the request.
func (d *Dispatcher) dispatch(ctx context.Context, p *pendingRequest) (*backend.Response, error) {
	if p.ready != nil {
		if problem := d.awaitSlot(ctx, p); problem != nil {
			return nil, problem
		}
	}
	response, err := d.backend.Do(ctx, &p.outgoing)
	if err != nil {
		problem := asProblem(err)
		d.failed(p, problem)
		return nil, problem
	}
	d.responseStarted(p, response.Status)
	if response.ContentLength == 0 || p.req.Method == http.MethodHead {
		d.completed(p)
		return response, nil
	}
	response.Body = &responseBody{source: response.Body, dispatcher: d, request: p}
	return response, nil
}

// awaitSlot returns nil once the request has a slot.
func (d *Dispatcher) awaitSlot(ctx context.Context, p *pendingRequest) *outcome.Problem {
	timer := time.NewTimer(time.Until(p.req.Deadline))
	defer timer.Stop()
	var problem *outcome.Problem
	select {
	case <-p.ready:
	case <-ctx.Done():
		problem = clientCanceled()
	case <-timer.C:
		problem = deadlinePassed()
	}
	if problem != nil && d.cancelWait(p, problem) {
		return problem
	}
	<-p.ready
	return p.problem
}

// awaitEarlier waits for the outcome of an earlier request with the same identity. It returns nil if the earlier
// request was not executed, so that this one may be.
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
	return repeatedRequest(earlier)
}

// asProblem returns the problem that err contains. An error of another type has an unknown outcome.
func asProblem(err error) *outcome.Problem {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return outcome.New(outcome.KindInternal, http.StatusInternalServerError, outcome.Unknown, err.Error())
}
