package gateway

import (
	"sync"
	"time"
)

// unreachableTTL is how long a host is excluded from routing after a failed connection.
const unreachableTTL = time.Second

// unreachableHosts records the hosts that recently could not be reached.
type unreachableHosts struct {
	// mu protects the fields below.
	mu    sync.Mutex
	until map[string]time.Time
}

func newUnreachableHosts() *unreachableHosts {
	return &unreachableHosts{until: make(map[string]time.Time)}
}

func (s *unreachableHosts) add(host string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[host] = now.Add(unreachableTTL)
}

func (s *unreachableHosts) contains(host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[host]
	if ok && !now.Before(until) {
		delete(s.until, host)
		return false
	}
	return ok
}
