package gateway

import (
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

func toWireRequestHead(c *call, t target) *wire.RequestHead {
	r := c.request
	return &wire.RequestHead{
		RequestId:        r.ID[:],
		Service:          r.Service,
		Key:              r.Key,
		Subscriber:       r.Subscriber,
		DeadlineUnixNano: r.Deadline.UnixNano(),
		Method:           r.Method,
		Path:             r.Path,
		Headers:          toWireHeader(r.Header),
		Idempotent:       r.Idempotent,
		Identity:         r.Identity,
		FirstAttempt:     r.FirstAttempt,
		Hops:             c.hops + 1,
		ContentLength:    int64(len(c.body)),
		Server:           t.server,
	}
}

func fromWireRequestHead(head *wire.RequestHead) (*call, bool) {
	var id backend.RequestID
	if copy(id[:], head.RequestId) != len(id) {
		return nil, false
	}
	return &call{
		hops:           head.Hops,
		assignedServer: head.Server,
		request: &backend.Request{
			ID:            id,
			Service:       head.Service,
			Key:           head.Key,
			Subscriber:    head.Subscriber,
			Deadline:      time.Unix(0, head.DeadlineUnixNano),
			Method:        head.Method,
			Path:          head.Path,
			Header:        fromWireHeader(head.Headers),
			Idempotent:    head.Idempotent,
			Identity:      head.Identity,
			FirstAttempt:  head.FirstAttempt,
			ContentLength: head.ContentLength,
		},
	}, true
}

func toWireHeader(header http.Header) []*wire.Header {
	lines := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			lines = append(lines, &wire.Header{Name: name, Value: value})
		}
	}
	return lines
}

func fromWireHeader(lines []*wire.Header) http.Header {
	header := make(http.Header, len(lines))
	for _, line := range lines {
		header[line.Name] = append(header[line.Name], line.Value)
	}
	return header
}

func toWireProblem(p *outcome.Problem) *wire.Problem {
	return &wire.Problem{
		Kind:             string(p.Kind),
		Status:           int32(p.Status),
		Outcome:          int32(p.Outcome),
		Detail:           p.Detail,
		RetryAfterMillis: p.RetryAfter.Milliseconds(),
	}
}

func fromWireProblem(p *wire.Problem) *outcome.Problem {
	o := outcome.Outcome(p.Outcome)
	if o != outcome.NotExecuted && o != outcome.Executed {
		o = outcome.Unknown
	}
	return &outcome.Problem{
		Kind:       outcome.Kind(p.Kind),
		Status:     sanitizeStatus(int(p.Status)),
		Outcome:    o,
		Detail:     p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMillis) * time.Millisecond,
	}
}

// sanitizeStatus replaces a status outside 400 to 599 by 502. An invalid status from a faulty peer would make
// http.ResponseWriter panic.
func sanitizeStatus(status int) int {
	if status < http.StatusBadRequest || status > 599 {
		return http.StatusBadGateway
	}
	return status
}
