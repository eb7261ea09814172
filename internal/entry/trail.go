package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
)

// sampleEvery is the share of good requests whose decisions are logged: one in as many.
const sampleEvery = 128

// step is one decision about a request, with the inputs that decided it.
type step struct {
	at   time.Duration
	what string
	// left is the time until the request has to be answered.
	left time.Duration
	// ticket, verdict, answer and err are those of a send.
	ticket  *dispatch.Reservation
	verdict verdict
	answer  *serverconn.Response
	err     error
	took    time.Duration
	// refusal is that of a request without a backend server.
	refusal *dispatch.Refusal
}

// Names of steps. Each is the message of a log line.
const (
	stepRouted  = "request routed"
	stepPlaced  = "request placed"
	stepSent    = "send ended"
	stepAgain   = "request is sent again"
	stepRefused = "request refused"
)

// trail keeps the decisions about one request. They are logged if it ends badly, and for a sample of the others.
type trail struct {
	steps []step
}

func (f *forward) note(s step) {
	s.at = f.handler.Clock()
	s.left = f.demand.Deadline - s.at
	f.trail.steps = append(f.trail.steps, s)
}

// finish logs the decisions about a request and counts its outcome.
func (f *forward) finish(a *answer) {
	took := f.handler.Clock() - f.arrived
	outcome := f.outcome(a)
	kind := "once"
	if f.route.Idempotent {
		kind = "idempotent"
	}
	f.handler.Metrics.ObserveRequest(kind, outcome, took)
	if outcome == outcomeServed && f.handler.answered.Add(1)%sampleEvery != 0 {
		return
	}
	now, clock := time.Now(), f.handler.Clock()
	for _, s := range f.trail.steps {
		f.entry(s).WithTime(now.Add(s.at - clock)).Info(s.what)
	}
	f.handler.Log.WithFields(logrus.Fields{
		"id": f.call.ID, "route": f.route.Name, "outcome": outcome, "status": a.status, "took": took, "sends": f.sends,
	}).Info("request ended")
}

// Outcomes of requests.
const (
	outcomeServed    = "served"
	outcomeFailed    = "failed"
	outcomeNotRun    = "not-run"
	outcomeUnknown   = "unknown"
	outcomeAbandoned = "caller-left"
)

// outcome names how a request ended.
func (f *forward) outcome(a *answer) string {
	switch {
	case a.status == statusAbandoned:
		return outcomeAbandoned
	case f.lastVerdict == verdictAnswer && f.last != nil && a.status == f.last.Status:
		return outcomeServed
	case f.lastVerdict == verdictFailed && f.last != nil && a.status == f.last.Status:
		return outcomeFailed
	case !f.mayHaveRun:
		return outcomeNotRun
	default:
		return outcomeUnknown
	}
}

// entry returns the log line of a decision.
func (f *forward) entry(s step) *logrus.Entry {
	fields := logrus.Fields{"id": f.call.ID, "at": s.at, "left": s.left}
	switch s.what {
	case stepRouted:
		fields["route"], fields["service"], fields["config"] = f.route.Name, f.demand.Service, f.configVersion
		fields["patience"] = f.call.Timeout
		if f.demand.HasKey {
			fields["key"] = f.demand.Key
		}
	case stepPlaced:
		fields["server"], fields["expected"], fields["token"] = s.ticket.Server.ID, s.ticket.Expected, s.ticket.Token
		fields["own"], fields["others"], fields["age"] = s.ticket.OwnRequests, s.ticket.PeerRequests, s.ticket.PeerRequestsAge
	case stepSent:
		fields["server"], fields["verdict"], fields["took"] = s.ticket.Server.ID, s.verdict, s.took
		if s.answer != nil {
			fields["status"] = s.answer.Status
		}
		if s.err != nil {
			fields["error"] = s.err
		}
	case stepAgain:
		fields["sends"], fields["unsent"] = f.sends, f.unsent
	case stepRefused:
		fields["reason"], fields["wait"] = s.refusal.Reason, s.refusal.Wait
	}
	return f.handler.Log.WithFields(fields)
}
