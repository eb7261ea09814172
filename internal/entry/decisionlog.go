package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
)

// sampleInterval is the sampling interval of successful requests: the decisions about one in this many are logged.
const sampleInterval = 128

// decision is a decision about a request, with the inputs that it was based on.
type decision struct {
	at      time.Duration
	message string
	// timeLeft is the time until the deadline of the request.
	timeLeft time.Duration
	// reservation, result, response, err and duration describe an attempt.
	reservation *dispatch.Reservation
	result      attemptResult
	response    *serverconn.Response
	err         error
	duration    time.Duration
	// restRead is the number of bytes that were read by then of the part of the body that is not held.
	restRead int64
	// refusal is the reason why no backend server was assigned to the request.
	refusal *dispatch.Refusal
}

// Kinds of decisions. Each is the message of a log line.
const (
	decisionRouted  = "request routed"
	decisionPlaced  = "request placed"
	decisionSent    = "send ended"
	decisionRetry   = "request is sent again"
	decisionHedged  = "second copy of the request is sent"
	decisionRefused = "request refused"
)

// decisionLog collects the decisions about one request. They are logged if the request fails, and for a sample of
// successful requests.
type decisionLog struct {
	decisions []decision
}

func (f *forwarder) record(d decision) {
	d.at = f.handler.Clock()
	d.timeLeft = f.acquireRequest.Deadline - d.at
	if f.request.rest != nil {
		d.restRead = f.request.rest.taken.Load()
	}
	f.log.decisions = append(f.log.decisions, d)
}

// finish counts the outcome of a request and logs the decisions about it.
func (f *forwarder) finish(resp *response) {
	duration := f.handler.Clock() - f.arrived
	outcome := f.outcome(resp)
	kind := "once"
	if f.route.Idempotent {
		kind = "idempotent"
	}
	f.handler.Metrics.ObserveRequest(kind, outcome, duration)
	if outcome == outcomeServed && f.handler.served.Add(1)%sampleInterval != 0 {
		return
	}
	now, clock := time.Now(), f.handler.Clock()
	for _, d := range f.log.decisions {
		f.logEntry(d).WithTime(now.Add(d.at - clock)).Info(d.message)
	}
	f.handler.Log.WithFields(logrus.Fields{
		"id": f.metadata.ID, "route": f.route.Name, "outcome": outcome, "status": resp.status, "took": duration,
		"sends": f.sends,
	}).Info("request ended")
}

// Outcomes of requests.
const (
	outcomeServed      = "served"
	outcomeFailed      = "failed"
	outcomeNotExecuted = "not-run"
	outcomeUnknown     = "unknown"
	outcomeClientGone  = "caller-left"
)

// outcome returns the outcome of a request.
func (f *forwarder) outcome(resp *response) string {
	switch {
	case resp.status == statusClientGone:
		return outcomeClientGone
	case f.lastResult == resultResponse && f.last != nil && resp.status == f.last.Status:
		return outcomeServed
	case f.lastResult == resultFailed && f.last != nil && resp.status == f.last.Status:
		return outcomeFailed
	case !f.mayHaveExecuted:
		return outcomeNotExecuted
	default:
		return outcomeUnknown
	}
}

// logEntry returns the log entry of a decision.
func (f *forwarder) logEntry(d decision) *logrus.Entry {
	fields := logrus.Fields{"id": f.metadata.ID, "at": d.at, "left": d.timeLeft}
	switch d.message {
	case decisionRouted:
		fields["route"], fields["service"], fields["config"] = f.route.Name, f.acquireRequest.Service, f.configVersion
		fields["patience"] = f.metadata.Timeout
		if f.acquireRequest.HasKey {
			fields["key"] = f.acquireRequest.Key
		}
	case decisionPlaced, decisionHedged:
		fields["server"], fields["expected"], fields["token"] = d.reservation.Server.ID, d.reservation.Expected, d.reservation.Token
		fields["own"], fields["others"], fields["age"] =
			d.reservation.OwnRequests, d.reservation.PeerRequests, d.reservation.PeerRequestsAge
	case decisionSent:
		fields["server"], fields["verdict"], fields["took"] = d.reservation.Server.ID, d.result, d.duration
		if f.request.rest != nil {
			fields["rest_read"] = d.restRead
		}
		if d.response != nil {
			fields["status"] = d.response.Status
		}
		if d.err != nil {
			fields["error"] = d.err
		}
	case decisionRetry:
		fields["sends"], fields["unsent"] = f.sends, f.unsent
	case decisionRefused:
		fields["reason"], fields["wait"] = d.refusal.Reason, d.refusal.Wait
	}
	return f.handler.Log.WithFields(fields)
}
