package admin

import (
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Events of the time line. Each change that operators ask for leaves one entry.
const (
	eventAccepted timeline.Kind = "admin/accepted"
	eventRefused  timeline.Kind = "admin/refused"
	eventDenied   timeline.Kind = "admin/denied"
)

// audit records who asked for what, and what became of it. It never records tokens.
func (s *Server) audit(kind timeline.Kind, c *call, detail string) {
	who := c.identity.Name
	if who == "" {
		who = "unknown sender " + c.r.RemoteAddr
	}
	text := fmt.Sprintf("%s, team %s: %s %s: %s", who, c.team, c.r.Method, c.r.URL.Path, detail)
	s.recorder.Record(timeline.Event{Kind: kind, Request: c.r.Header.Get(headerID), Detail: text})
	s.log.Infof("admin: %s: %s", kind, text)
}
