package dispatch

import "time"

// fullChoices remembers, while waiting requests are looked at, for which of them there was no room: all requests with
// the same latency objective that any server can run fare alike.
type fullChoices map[time.Duration]choice

// choose places a request like service.choose.
func (f fullChoices) choose(s *service, demand *AcquireRequest, now time.Duration) choice {
	if s.sharded && demand.HasKey || len(demand.Tried) > 0 {
		return s.choose(demand, now, 0)
	}
	if c, known := f[demand.Target]; known {
		return c
	}
	c := s.choose(demand, now, 0)
	if c.server == nil {
		f[demand.Target] = c
	}
	return c
}
