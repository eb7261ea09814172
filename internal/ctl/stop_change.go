package ctl

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// stopTarget is the argument of the stop commands.
type stopTarget struct {
	Host string `positional-arg-name:"HOST" description:"Host or backend server" required:"yes"`
}

// changeStops sends an announcement or a cancellation.
func (s *session) changeStops(m message, id, line string) error {
	gateway, err := s.client("")
	if err != nil {
		return err
	}
	if id == "" {
		id = s.program.NewID()
	}
	accepted := &config.Config{}
	if err := gateway.change(m, id, accepted); err != nil {
		return err
	}
	if s.options.JSON {
		return s.printJSON(append([]config.PlannedStop{}, accepted.Stops...))
	}
	s.printf("%s\n", line)
	return nil
}

// parseTime reads now, a duration from now, or a time with its zone.
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
		return at, usage("--at %q is not a time; use now, +10m or 2026-01-31T14:00:00Z", text)
	}
	return at.UTC(), nil
}
