package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/placing"
)

// noRoomCache holds, during one pass over a queue, the results of the searches that found no room, by how full a server may
// be. Requests that can run on any server and have the same limits get the same result.
type noRoomCache map[placing.Limits]choice

// choose places a request like service.choose, but skips the search if it is known to find no room.
func (n noRoomCache) choose(s *service, request *AcquireRequest, now time.Duration) choice {
	if s.ownedKey(request) || len(request.Tried) > 0 {
		return s.choose(request, now, 0)
	}
	limits := s.placingLimits(request, now)
	if c, known := n[limits]; known {
		return c
	}
	c := s.choose(request, now, 0)
	if c.server == nil {
		n[limits] = c
	}
	return c
}
