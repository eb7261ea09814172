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

// sharers returns the number of gateways that use a limit if only some of them can, and whether this is one of them.
func (s *localShare) sharers(terms Terms, gateways int) (float64, bool) {
	if float64(gateways) <= terms.Sharers {
		return float64(max(1, gateways)), true
	}
	return terms.Drawn, s.draw < terms.Drawn/float64(gateways)
}

// rate returns the number of requests a second that this gateway may send.
func (s *localShare) rate(limit float64, terms Terms, gateways int) float64 {
	sharers, included := s.sharers(terms, gateways)
	switch {
	case !included:
		return 0
	case float64(gateways) > terms.Sharers:
		return min(limit/sharers, terms.DrawnRate)
	}
	return limit / sharers
}

func (s *localShare) advance(now time.Duration, limit float64, terms Terms, gateways int) {
	if now > s.filledAt {
		s.tokens = min(1, s.tokens+(now-s.filledAt).Seconds()*s.rate(limit, terms, gateways))
		s.filledAt = now
	}
}

func (s *localShare) take() { s.tokens = max(0, s.tokens-1) }

func (s *localShare) reset(now time.Duration) { s.tokens, s.filledAt = 0, now }
