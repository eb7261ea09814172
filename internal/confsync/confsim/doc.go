// Package confsim connects many confsync state machines by a fake network on fake time, for property tests and
// measurements of the relay alone. It models no gateway, cell or backend server.
// A run depends on its options and seed only.
package confsim

import "time"

// Times of the simulated environment.
const (
	// HeartbeatInterval is the time between two heartbeats of a member to its holder.
	HeartbeatInterval = 150 * time.Millisecond
	// TakeoverTime is the time after which a cell has another holder when it lost its holder.
	TakeoverTime = 610 * time.Millisecond
	// storeTimeout is the time after which a call to a store that is down fails.
	storeTimeout = 200 * time.Millisecond
	// storeLatency is the one-way time to the store.
	storeLatency = 2 * time.Millisecond
	// resolution is the step of simulated time.
	resolution = time.Millisecond
)

// Latencies between gateways, one way.
const (
	latencyInZone   = 1 * time.Millisecond
	latencyInRegion = 2 * time.Millisecond
	latencyRegions  = 80 * time.Millisecond
)
