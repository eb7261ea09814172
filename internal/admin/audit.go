package admin

import (
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Timeline events. Every write request that reaches a handler, and every request that is denied access, records one.
const (
	eventAccepted timeline.Kind = "admin/accepted"
	eventRefused  timeline.Kind = "admin/refused"
	eventDenied   timeline.Kind = "admin/denied"
)

// audit records the client, the request and its result in the timeline and in the log. It never records tokens.
func (s *Server) audit(kind timeline.Kind, c *authRequest, detail string) {
	client := c.identity.Name
	if client == "" {
		client = "unknown sender " + c.r.RemoteAddr
	}
	text := fmt.Sprintf("%s, team %s: %s %s: %s", client, c.team, c.r.Method, c.r.URL.Path, detail)
	s.recorder.Record(timeline.Event{Kind: kind, Request: c.r.Header.Get(headerIdempotencyKey), Detail: text})
	s.log.Infof("admin: %s: %s", kind, text)
}
