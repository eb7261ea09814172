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

func (h *unreachableHosts) add(host string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until[host] = now.Add(unreachableTTL)
}

func (h *unreachableHosts) contains(host string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	until, ok := h.until[host]
	if ok && !now.Before(until) {
		delete(h.until, host)
		return false
	}
	return ok
}
