package serverstate

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
	"github.com/sapphireplank/sapphireplank/internal/zones"
)

// Guards against a rule of precedence under which one source of what is known of a server takes back what another has
// stated: its entry, its own word, or the end of its requests.
func TestPrecedence(t *testing.T) {
	const drain = 2 * time.Second
	const expired = drain - DrainMargin + 1
	entry := func(draining bool, since time.Duration) func(*State) {
		return func(s *State) {
			s.Register(directory.RegisteredServer{Server: directory.Server{Draining: draining}, DrainingSince: since})
		}
	}
	says := func(at time.Duration) func(*State) {
		return func(s *State) { s.Observe(Statement{Leaving: true}, at, at, 0) }
	}
	silent := func(s *State) {
		for range 3 {
			s.Failures.Observe(suspicion.NoResponse, 0)
		}
	}
	replaced := func(s *State) { s.MarkReplaced() }
	busy := func(s *State) { s.Observe(Statement{HoldOff: time.Second}, 0, 0, 0) }
	const zoneDrain = 5 * time.Second
	zoneDrained := func(s *State) { s.SetZone(zones.State{Drained: true}) }
	cases := []struct {
		name  string
		facts []func(*State)
		now   time.Duration
		want  Availability
	}{
		{"ready", []func(*State){entry(false, 0)}, 0, Available},
		{"entry drains", []func(*State){entry(true, 0)}, 0, Draining},
		{"entry has drained", []func(*State){entry(true, 0)}, expired, Gone},
		{"says that it leaves, entry ready", []func(*State){says(0), entry(false, 0)}, 0, Draining},
		{"said so long ago, entry ready", []func(*State){says(0), entry(false, 0)}, expired, Gone},
		{"said so long ago, entry drains now", []func(*State){says(0), entry(true, expired)}, expired, Gone},
		{"says so again later", []func(*State){says(0), says(expired)}, expired, Gone},
		{"says nothing later", []func(*State){says(0), func(s *State) { s.Observe(Statement{}, 1, 1, 0) }}, 0, Draining},
		{"does not respond", []func(*State){silent}, 0, Suspended},
		{"leaves and does not respond", []func(*State){silent, says(0)}, 0, Draining},
		{"holds off", []func(*State){busy}, time.Second - 1, HeldOff},
		{"has held off", []func(*State){busy}, time.Second, Available},
		{"holds off and does not respond", []func(*State){silent, busy}, 0, HeldOff},
		{"holds off and leaves", []func(*State){busy, says(0)}, 0, Draining},
		{"replaced", []func(*State){replaced, entry(false, 0)}, 0, Gone},
		{"replaced and leaves", []func(*State){says(0), replaced}, 0, Gone},
		{"zone drains", []func(*State){zoneDrained}, 0, Draining},
		{"zone drains, entry comes again", []func(*State){zoneDrained, entry(false, 0)}, expired, Draining},
		{"zone has drained", []func(*State){zoneDrained, entry(false, 0)}, zoneDrain - DrainMargin + 1, Gone},
		{"zone drains, server has drained", []func(*State){zoneDrained, entry(true, 0)}, expired, Gone},
		{"zone drains and server holds off", []func(*State){zoneDrained, busy}, 0, Draining},
		{"zone taken back", []func(*State){zoneDrained, func(s *State) { s.SetZone(zones.State{ReturnedAt: 1}) }}, 1, Available},
		{"zone taken back, server drains", []func(*State){says(0), func(s *State) { s.SetZone(zones.State{ReturnedAt: 1}) }}, 1, Draining},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s State
			for _, fact := range c.facts {
				fact(&s)
			}
			if got := s.Availability(c.now, Periods{Drain: drain, ZoneDrain: zoneDrain}); got != c.want {
				t.Errorf("availability %d, want %d", got, c.want)
			}
		})
	}
}
