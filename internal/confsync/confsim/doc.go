// Package confsim connects many confsync state machines by a simulated network with simulated time. It is used by
// property tests and by measurements of configuration replication alone; it does not model the rest of a gateway, cells
// or backend servers. A run depends only on its options and seed.
package confsim

import "time"

// Times of the simulated environment.
const (
	// HeartbeatInterval is the time between two heartbeats from a member to its holder.
	HeartbeatInterval = 150 * time.Millisecond
	// TakeoverTime is the time from the loss of a holder until its cell has another one.
	TakeoverTime = 610 * time.Millisecond
	// storeTimeout is the time after which a call to an unavailable store fails.
	storeTimeout = 200 * time.Millisecond
	// storeLatency is the one-way latency to the store.
	storeLatency = 2 * time.Millisecond
	// timeStep is the resolution of simulated time.
	timeStep = time.Millisecond
)

// Mean one-way latencies between gateways.
const (
	latencyInZone         = 1 * time.Millisecond
	latencyInRegion       = 2 * time.Millisecond
	latencyBetweenRegions = 80 * time.Millisecond
)
