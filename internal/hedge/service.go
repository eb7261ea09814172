package hedge

import "time"

// maxTokens bounds the hedged requests that may be sent at once after a time without any.
const maxTokens = 5

// Service decides on the hedged requests of one service. It is not safe for concurrent use.
type Service struct {
	percent   float64
	latencies latencies
	// tokens is the number of hedged requests that may be sent now.
	tokens float64
}

// NewService returns the state of a service with a number of hedged requests per 100 requests.
func NewService(percent float64) *Service { return &Service{percent: percent} }

// CountRequest counts the first copy of a request.
func (s *Service) CountRequest() { s.tokens = min(s.tokens+s.percent/100, maxTokens) }

// Observe records the time from sending a request to its response.
func (s *Service) Observe(took time.Duration) { s.latencies.observe(took) }

// Delay returns how long after its first copy a request is sent again: as long as all but the allowed share of the recent
// requests took. It returns false if no hedged requests are allowed, or too few response times are known.
func (s *Service) Delay() (time.Duration, bool) {
	if s.percent <= 0 {
		return 0, false
	}
	return s.latencies.above(s.percent / 100)
}

// Take reports whether a further hedged request is within the allowed share, and counts it if so.
func (s *Service) Take() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Return gives back what Take counted for a hedged request that was not sent after all.
func (s *Service) Return() { s.tokens = min(s.tokens+1, maxTokens) }
