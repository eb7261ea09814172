package dispatch

import "time"

// noRoomCache caches, during one pass over a queue, the latency objectives for which no server had room. All
// requests with the same objective that can run on any server get the same result.
type noRoomCache map[time.Duration]choice

// choose places a request like service.choose, but skips the search if it is known to find no room.
func (f noRoomCache) choose(s *service, demand *AcquireRequest, now time.Duration) choice {
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
