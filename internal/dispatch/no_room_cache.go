package dispatch

import "time"

// noRoomCache holds, during one pass over a queue, the results of the searches that found no room, by latency
// objective. Requests that can run on any server and have the same objective get the same result.
type noRoomCache map[time.Duration]choice

// choose places a request like service.choose, but skips the search if it is known to find no room.
func (n noRoomCache) choose(s *service, request *AcquireRequest, now time.Duration) choice {
	if s.sharded && request.HasKey || len(request.Tried) > 0 {
		return s.choose(request, now, 0)
	}
	if c, known := n[request.Target]; known {
		return c
	}
	c := s.choose(request, now, 0)
	if c.server == nil {
		n[request.Target] = c
	}
	return c
}
