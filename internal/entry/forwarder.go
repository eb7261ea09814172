package entry

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
)

const (
	// maxUnsent limits the attempts of which no byte was sent.
	maxUnsent = 4
	// staleOwnerDelay is how long a request waits for the new owner of its key after the recorded owner rejected it.
	staleOwnerDelay = 80 * time.Millisecond
	// minTimeLeft is the remaining time below which a request is not sent any more.
	minTimeLeft = 10 * time.Millisecond
	// lateResponseMargin is how long after the deadline a response is still accepted: one that the backend server sent
	// at the deadline is still in transit.
	lateResponseMargin = 25 * time.Millisecond
	// attemptTimeoutFactor is the multiple of the expected response time after which an attempt of an idempotent request
	// is canceled, so that the request is sent again.
	attemptTimeoutFactor = 6
	// attemptTimeoutTargets is the lower bound of that timeout, as a multiple of the route's latency objective.
	attemptTimeoutTargets = 2
)

// forwarder forwards one request to backend servers.
type forwarder struct {
	handler        *Handler
	request        *request
	route          *routing.Route
	metadata       exchange.RequestMetadata
	acquireRequest dispatch.AcquireRequest
	arrived        time.Duration
	gateways       int
	// configVersion is the version of the configuration by which the request was routed.
	configVersion uint64
	log           decisionLog

	// sends counts the attempts that a backend server may have received.
	sends int
	// unsent counts the attempts of which no byte was sent.
	unsent int
	// mayHaveExecuted is set once a backend server may have executed the request.
	mayHaveExecuted bool
	// usedConns are the connections over which earlier attempts got a response.
	usedConns []serverconn.ConnID
	// last is the response to the last attempt. It is nil if there was none.
	last *serverconn.Response
	// lastResult is the result of the last attempt.
	lastResult attemptResult
	// lastErr is the error of the last attempt, or nil.
	lastErr error
	// retryGranted is set if the next attempt is already counted in the retry budget.
	retryGranted bool
}

// run forwards the request and logs the decisions about it.
func (f *forwarder) run(ctx context.Context) *response {
	f.record(decision{message: decisionRouted})
	resp := f.truthful(f.respond(ctx))
	resp.deadline = time.Now().Add(f.timeLeft())
	f.finish(resp)
	return resp
}

// respond sends the request until there is a response to return.
func (f *forwarder) respond(ctx context.Context) *response {
	h := f.handler
	if f.acquireRequest.HasKey && h.OnKeyRequest != nil {
		h.OnKeyRequest(f.acquireRequest.Service, f.acquireRequest.Key)
	}
	for {
		waitStarted := h.Clock()
		reservation, err := h.Dispatcher.Acquire(ctx, &f.acquireRequest)
		h.Metrics.ObserveWait(h.Clock() - waitStarted)
		if err != nil {
			return f.rejected(err)
		}
		f.record(decision{message: decisionPlaced, reservation: reservation})
		if ctx.Err() != nil {
			f.handler.Dispatcher.Done(reservation, dispatch.Result{NotSent: true})
			return &response{status: statusClientGone}
		}
		if f.timeLeft() < minTimeLeft {
			f.handler.Dispatcher.Done(reservation, dispatch.Result{NotSent: true})
			return f.outOfTime()
		}
		if f.sends == 0 && f.unsent == 0 {
			h.RetryBudgets.CountRequest(f.acquireRequest.Service)
		}
		if f.mayHedge() {
			f.sendHedged(ctx, reservation)
		} else {
			f.send(ctx, reservation)
		}
		if ctx.Err() != nil {
			return &response{status: statusClientGone}
		}
		if resp := f.responseOrRetry(); resp != nil {
			return resp
		}
		f.record(decision{message: decisionRetry})
	}
}

// timeLeft returns the time until the deadline of the request.
func (f *forwarder) timeLeft() time.Duration { return f.acquireRequest.Deadline - f.handler.Clock() }

// send makes one attempt and classifies its result.
func (f *forwarder) send(ctx context.Context, reservation *dispatch.Reservation) {
	left := f.timeLeft()
	limit := left + lateResponseMargin
	parent := ctx
	if !f.route.Idempotent {
		// A request that must be executed at most once is not canceled: its outcome would be unknown.
		parent = context.Background()
	}
	attemptCtx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	timer := f.startAttemptTimer(reservation, cancel)
	started := f.handler.Clock()
	response, err := reservation.Pool.Do(attemptCtx, f.outgoingRequest(left, reservation))
	timer.stop()
	f.last, f.lastResult, f.lastErr = response, classify(response, err), err
	f.report(reservation, limit, err, started, ctx.Err() != nil)
}

// outgoingRequest returns the request as it is sent to the backend server.
func (f *forwarder) outgoingRequest(left time.Duration, reservation *dispatch.Reservation) *serverconn.Request {
	r := f.request.http
	header := r.Header.Clone()
	removeConnectionHeaders(header)
	f.handler.Headers.SetForwarded(header, left, reservation.Server.ID)
	request := &serverconn.Request{
		ID:         f.metadata.ID,
		Method:     r.Method,
		URI:        r.RequestURI,
		Host:       r.Host,
		Header:     header,
		Body:       f.request.body,
		AtMostOnce: !f.route.Idempotent,
		Memory:     f.request.memory,
		Used:       f.usedConns,
	}
	if f.request.rest != nil {
		request.Rest, request.Length = f.request.rest.newReader(), r.ContentLength
	}
	return request
}

// responseOrRetry returns the response to the client, or nil if the request is to be sent again.
func (f *forwarder) responseOrRetry() *response {
	switch f.lastResult {
	case resultResponse:
		return f.backendResponse()
	case resultNotSent:
		if f.unsent < maxUnsent && f.prepareAttempt() {
			return nil
		}
	case resultNotExecuted:
		if f.allowRetry() {
			return nil
		}
	default:
		if f.route.Idempotent && f.allowRetry() {
			return nil
		}
	}
	return f.finalResponse()
}

// prepareAttempt reports whether there is time for another attempt and the whole body is left for it. If so, the last attempt cannot
// read the body any more.
func (f *forwarder) prepareAttempt() bool {
	return f.timeLeft() > minTimeLeft && f.request.reclaimBody()
}

// allowRetry reports whether another attempt is within the limits and the retry budget. If so, the budget counts it.
func (f *forwarder) allowRetry() bool {
	if f.sends >= f.route.MaxAttempts || !f.prepareAttempt() {
		return false
	}
	if f.retryGranted {
		f.retryGranted = false
		return true
	}
	return f.takeRetry()
}

// takeRetry asks the retry budget for another attempt.
func (f *forwarder) takeRetry() bool {
	granted := f.handler.RetryBudgets.Take(f.acquireRequest.Service, f.gateways)
	f.handler.Metrics.CountRetry(granted)
	return granted
}

// backendResponse returns the response of the backend server.
func (f *forwarder) backendResponse() *response {
	header := f.last.Header
	removeConnectionHeaders(header)
	return &response{status: f.last.Status, header: header, body: f.last.Body}
}
