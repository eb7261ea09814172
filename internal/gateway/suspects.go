package gateway

import (
	"sync"
	"time"
)

// suspectTime is how long a host that could not be reached is avoided.
const suspectTime = time.Second

// suspects remembers hosts that could not be reached.
type suspects struct {
	// mu protects the fields below.
	mu    sync.Mutex
	until map[string]time.Time
}

func newSuspects() *suspects { return &suspects{until: make(map[string]time.Time)} }

func (s *suspects) add(host string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[host] = now.Add(suspectTime)
}

func (s *suspects) has(host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[host]
	if ok && !now.Before(until) {
		delete(s.until, host)
		return false
	}
	return ok
}
