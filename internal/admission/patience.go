package admission

import "time"

const (
	// patienceWindow is the time in which the longest timeout of a route's clients is found. It covers the lifetime of any
	// client's request.
	patienceWindow = 30 * time.Second
	// patienceSpread is the share by which the timeouts of clients of one route may differ although none has waited yet.
	patienceSpread = 0.2
)

// Patience estimates how long the clients of a route have waited when a request arrives. A client states how much longer it
// waits; when it was refused before and comes back, that is less than other clients state.
type Patience struct {
	// longest and previous are the longest timeouts of the window that began at startedAt, and of the one before.
	longest, previous time.Duration
	startedAt         time.Duration
}

// Observe records the timeout that the client of a request states, and returns how long ago the client first sent the request
// at the least.
func (p *Patience) Observe(timeout, now time.Duration) time.Duration {
	if now-p.startedAt >= patienceWindow {
		p.previous, p.longest, p.startedAt = p.longest, 0, now
	}
	p.longest = max(p.longest, timeout)
	usual := max(p.longest, p.previous)
	return max(0, time.Duration((1-patienceSpread)*float64(usual))-timeout)
}
