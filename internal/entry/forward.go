package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
)

const (
	// maxUnsent bounds how often a request that no byte of was sent is tried.
	maxUnsent = 4
	// staleOwnerPause is how long a request waits for the new owner after the recorded one refused it.
	staleOwnerPause = 80 * time.Millisecond
	// leastLeft is the time below which a request is not sent any more.
	leastLeft = 10 * time.Millisecond
	// timeoutSlack is how long after a deadline an answer is still taken: the backend server's own answer at the
	// deadline is on its way.
	timeoutSlack = 25 * time.Millisecond
	// patienceFactor is how many times the expected time an idempotent request waits before it is sent again.
	patienceFactor = 6
	// patienceTargets is the same in latency objectives.
	patienceTargets = 2
)

// forward is the way of one request to backend servers.
type forward struct {
	handler *Handler
	request *request
	route   *routing.Route
	call    exchange.RequestMetadata
	demand  dispatch.AcquireRequest
	arrived time.Duration
	gateway int
	// configVersion is that of the configuration by which the request was routed.
	configVersion uint64
	trail         trail

	// sends counts the sends that a backend server may have seen.
	sends int
	// unsent counts the sends of which no byte left.
	unsent int
	// mayHaveRun is true once a send may have run the request.
	mayHaveRun bool
	// last is the answer of the last send, if there was one.
	last *serverconn.Response
	// lastVerdict is the verdict of the last send.
	lastVerdict verdict
	// granted is true if the next send is in the retry budget already.
	granted bool
}

// run handles the request and logs the decisions about it.
func (f *forward) run(leave context.Context) *answer {
	f.note(step{what: stepRouted})
	a := f.answer(leave)
	f.finish(a)
	return a
}

// answer sends the request until there is an answer to return.
func (f *forward) answer(leave context.Context) *answer {
	h := f.handler
	if f.demand.HasKey && h.OnKeyRequest != nil {
		h.OnKeyRequest(f.demand.Service, f.demand.Key)
	}
	for {
		asked := h.Clock()
		ticket, err := h.Dispatcher.Acquire(leave, &f.demand)
		h.Metrics.ObserveWait(h.Clock() - asked)
		if err != nil {
			return f.refused(err)
		}
		f.note(step{what: stepPlaced, ticket: ticket})
		if leave.Err() != nil {
			f.handler.Dispatcher.Done(ticket, dispatch.Result{})
			return &answer{status: statusAbandoned}
		}
		if f.left() < leastLeft {
			f.handler.Dispatcher.Done(ticket, dispatch.Result{})
			return f.outOfTime()
		}
		if f.sends == 0 {
			h.RetryBudgets.Request(f.demand.Service)
		}
		f.send(leave, ticket)
		if leave.Err() != nil {
			return &answer{status: statusAbandoned}
		}
		if a := f.next(); a != nil {
			return a
		}
		f.note(step{what: stepAgain})
	}
}

// left returns the time until the request has to be answered.
func (f *forward) left() time.Duration { return f.demand.Deadline - f.handler.Clock() }

// send sends the request once and judges the result.
func (f *forward) send(leave context.Context, ticket *dispatch.Reservation) {
	left := f.left()
	limit := left + timeoutSlack
	parent := leave
	if !f.route.Idempotent {
		// What may run once only is not broken off: its outcome would be unknown.
		parent = context.Background()
	}
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	impatient := f.startPatience(ticket, cancel)
	started := f.handler.Clock()
	a, err := ticket.Pool.Do(ctx, f.outgoing(left, ticket))
	impatient.stop()
	f.last, f.lastVerdict = a, judge(a, err)
	f.report(ticket, limit, err, started, leave.Err() != nil)
}

// outgoing returns the request as the backend server gets it.
func (f *forward) outgoing(left time.Duration, ticket *dispatch.Reservation) *serverconn.Request {
	r := f.request.http
	header := r.Header.Clone()
	removeOwnHeaders(header)
	f.handler.Headers.SetForwarded(header, left, ticket.Server.ID)
	return &serverconn.Request{
		ID:         f.call.ID,
		Method:     r.Method,
		URI:        r.RequestURI,
		Host:       r.Host,
		Header:     header,
		Body:       f.request.body,
		AtMostOnce: !f.route.Idempotent,
	}
}

// report gives the ticket back and notes what the send says about the backend server.
func (f *forward) report(ticket *dispatch.Reservation, limit time.Duration, err error, started time.Duration, left bool) {
	v := f.lastVerdict
	result := dispatch.Result{}
	misdirected := false
	if f.last != nil {
		result.Load, result.HasLoad = f.last.Metadata.Load, f.last.Metadata.HasLoad
		misdirected = f.last.Status == http.StatusMisdirectedRequest
		result.ServerReplaced = misdirected && f.last.Metadata.Instance != "" && f.last.Metadata.Instance != ticket.Server.ID
	}
	result.RunTimeValid = v == verdictAnswer
	if !left {
		result.Outcome = v.outcome(misdirected, limit >= ticket.Expected)
	}
	f.handler.Dispatcher.Done(ticket, result)
	if v == verdictNotSent {
		f.unsent++
	} else {
		f.sends++
		f.demand.Tried = append(f.demand.Tried, ticket.Server.Incarnation())
	}
	if v != verdictNotSent && v != verdictNotRun {
		f.mayHaveRun = true
	}
	if misdirected {
		f.demand.StaleToken = ticket.Token
		f.demand.RetryAt = f.handler.Clock() + staleOwnerPause
		if f.demand.HasKey && f.handler.OnOwnerRejection != nil {
			f.handler.OnOwnerRejection(f.demand.Service, f.demand.Key, ticket.Server.ID)
		}
	}
	f.handler.Metrics.CountAttempt(v.String())
	f.note(step{what: stepSent, ticket: ticket, verdict: v, answer: f.last, err: err, took: f.handler.Clock() - started})
}

// next returns the answer to the caller, or nil if the request is sent again.
func (f *forward) next() *answer {
	switch f.lastVerdict {
	case verdictAnswer:
		return f.deliver()
	case verdictNotSent:
		if f.unsent < maxUnsent && f.left() > leastLeft {
			return nil
		}
	case verdictNotRun:
		if f.mayRepeat() {
			return nil
		}
	default:
		if f.route.Idempotent && f.mayRepeat() {
			return nil
		}
	}
	return f.final()
}

// mayRepeat reports whether one more send is within the bounds, and counts it in the budget if so.
func (f *forward) mayRepeat() bool {
	if f.sends >= f.route.MaxAttempts || f.left() <= leastLeft {
		return false
	}
	if f.granted {
		f.granted = false
		return true
	}
	return f.takeRetry()
}

// takeRetry asks the retry budget for one more send.
func (f *forward) takeRetry() bool {
	granted := f.handler.RetryBudgets.Take(f.demand.Service, f.gateway)
	f.handler.Metrics.CountRetry(granted)
	return granted
}

// deliver returns the backend server's answer.
func (f *forward) deliver() *answer {
	header := f.last.Header
	removeOwnHeaders(header)
	return &answer{status: f.last.Status, header: header, body: f.last.Body}
}
