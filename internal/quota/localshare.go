package quota

import "time"

// localShare is a token bucket with this gateway's share of a limit, for the time in which it has no permits. It holds
// one request at most.
type localShare struct {
	// draw is a random number of at least 0 and less than 1.
	draw     float64
	tokens   float64
	filledAt time.Duration
}

const (
	// sharersPerLimit and extraSharers bound the gateways that use a limit without permits: each may send one request at
	// once, and in 4 s they may together exceed 4 times the limit by twice the limit and 5 requests.
	sharersPerLimit = 2
	extraSharers    = 3
	// drawnPerLimit and extraDrawn give the mean number of sharers where they are drawn at random. It is lower, because
	// the number that is drawn varies.
	drawnPerLimit = 1
	extraDrawn    = 2
)

// sharers returns the number of gateways that use a limit if only some of them can, and whether this is one of them.
func (s *localShare) sharers(limit float64, gateways int) (float64, bool) {
	if float64(gateways) <= sharersPerLimit*limit+extraSharers {
		return float64(max(1, gateways)), true
	}
	drawn := drawnPerLimit*limit + extraDrawn
	return drawn, s.draw < drawn/float64(gateways)
}

// rate returns the number of requests a second that this gateway may send.
func (s *localShare) rate(limit float64, gateways int) float64 {
	sharers, included := s.sharers(limit, gateways)
	if !included {
		return 0
	}
	return limit / sharers
}

func (s *localShare) advance(now time.Duration, limit float64, gateways int) {
	if now > s.filledAt {
		s.tokens = min(1, s.tokens+(now-s.filledAt).Seconds()*s.rate(limit, gateways))
		s.filledAt = now
	}
}

func (s *localShare) take() { s.tokens = max(0, s.tokens-1) }

func (s *localShare) reset(now time.Duration) { s.tokens, s.filledAt = 0, now }
