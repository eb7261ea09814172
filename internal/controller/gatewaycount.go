package controller

import "time"

const (
	// unknownGateways is the number of gateways that is assumed at first: a part of a shared limit must not be too
	// large.
	unknownGateways = 32
	// firstCountAfter is how long the assumption holds after the start.
	firstCountAfter = 4 * time.Second
	// countMemory is how long a larger count holds: gateways that left may still use their part of a limit.
	countMemory = 10 * time.Second
)

// gatewayCount is the number of gateways that share the limits.
type gatewayCount struct {
	count  int
	seenAt time.Duration
}

// note takes a count.
func (g *gatewayCount) note(count int, now time.Duration) bool {
	if count >= g.count || now-g.seenAt > countMemory {
		changed := g.count != count
		g.count, g.seenAt = count, now
		return changed
	}
	return false
}

// value returns the count to reckon with.
func (g *gatewayCount) value(now time.Duration) int {
	if now < firstCountAfter || g.count == 0 {
		return max(unknownGateways, g.count)
	}
	return g.count
}
