package relay

import "time"

const (
	// assumedGateways is the number of gateways assumed after the start. It is high, so that the share of a limit that
	// this gateway uses is not too large.
	assumedGateways = 32
	// assumptionPeriod is how long after the start at least assumedGateways are assumed.
	assumptionPeriod = 4 * time.Second
	// countRetention is how long a larger count is kept, because gateways that left may still use their share of a limit.
	countRetention = 10 * time.Second
)

// GatewayCount is the number of gateways among which limits are divided.
type GatewayCount struct {
	count      int
	observedAt time.Duration
}

// Observe updates the count, and reports whether it changed. A lower count is ignored during countRetention.
func (g *GatewayCount) Observe(count int, now time.Duration) bool {
	if count >= g.count || now-g.observedAt > countRetention {
		changed := g.count != count
		g.count, g.observedAt = count, now
		return changed
	}
	return false
}

// Value returns the number of gateways by which limits are to be divided.
func (g *GatewayCount) Value(now time.Duration) int {
	if now < assumptionPeriod || g.count == 0 {
		return max(assumedGateways, g.count)
	}
	return g.count
}
