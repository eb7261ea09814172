package ctl

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// stopTargetArg is the positional argument of stop announce and stop cancel.
type stopTargetArg struct {
	Host string `positional-arg-name:"HOST" description:"Host or backend server" required:"yes"`
}

// submitStopChange sends an announcement or a cancellation and prints line, or the planned stops as JSON.
func (s *session) submitStopChange(r apiRequest, id, line string) error {
	gateway, err := s.newClient("")
	if err != nil {
		return err
	}
	if id == "" {
		id = s.program.NewID()
	}
	accepted := &config.Config{}
	if err := gateway.sendChange(r, id, accepted); err != nil {
		return err
	}
	if s.options.JSON {
		return s.printJSON(append([]config.Stop{}, accepted.Stops...))
	}
	s.printf("%s\n", line)
	return nil
}

// parseTime parses "now", a duration from now such as "+10m", or an RFC 3339 time.
func (s *session) parseTime(text string) (time.Time, error) {
	now := s.program.Now().UTC().Truncate(time.Second)
	if text == "now" {
		return now, nil
	}
	if text != "" && text[0] == '+' {
		if d, err := time.ParseDuration(text[1:]); err == nil {
			return now.Add(d), nil
		}
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, newUsageError("invalid time --at %q; use now, +10m or 2026-01-31T14:00:00Z", text)
	}
	return at.UTC(), nil
}
