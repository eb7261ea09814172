// Package placing selects the backend server for a request. It performs no I/O and has no clock of its own.
//
// It is designed for servers with few slots that are shared by many gateways: a gateway knows the number of its
// own requests exactly, but that of other gateways only from reports by servers and gateways, which arrive with a
// delay.
package placing

import (
	"math/rand/v2"
	"time"
)

// Server is the state of a backend server at the time a request is placed.
type Server struct {
	// Slots is the number of requests that the server executes concurrently.
	Slots int
	// OwnRequests is the number of this gateway's requests at the server.
	OwnRequests int
	// PeerRequests is the estimated number of other gateways' requests at the server.
	PeerRequests float64
	// RunTime is the expected run time of a request on this server.
	RunTime time.Duration
	// Slowdown is the run time at the moment relative to RunTime. 0 counts as 1. It decides between servers, not whether
	// one has room: it changes faster than a queue empties.
	Slowdown float64
	// NetworkCost is the time added for reaching the server: the round trip, and a surcharge for traffic between
	// zones.
	NetworkCost time.Duration
	// FailureRate is the moving average of the fraction of requests that fail at the server.
	FailureRate float64
}

// Limits constrain how many requests may be outstanding at a backend server.
type Limits struct {
	// Target is the latency objective of the request.
	Target time.Duration
	// Headroom is the part of a server's slots that the request leaves free for others.
	Headroom float64
	// FreeSlot is set if the request must not wait at the server.
	FreeSlot bool
}

const (
	// maxQueuePerSlot limits the requests that are queued at a server, per slot. Some servers never answer a
	// request that does not fit into their queue.
	maxQueuePerSlot = 2.0
	// minQueuePerSlot allows some queueing at a server even if the latency objective is short.
	minQueuePerSlot = 0.34
	// runTimeMargin is the safety factor on the expected run time of the request itself when the queue capacity is
	// computed.
	runTimeMargin = 1.3
)

// Outstanding returns the estimated number of requests at the server, running or queued.
func (s Server) Outstanding() float64 { return float64(s.OwnRequests) + s.PeerRequests }

// Capacity returns the maximum number of outstanding requests at which the server still meets the latency
// objective.
func (s Server) Capacity(limits Limits) float64 {
	if limits.FreeSlot {
		return float64(s.Slots)
	}
	spare := float64(limits.Target-s.NetworkCost)/float64(s.RunTime) - runTimeMargin
	queue := min(max(spare, minQueuePerSlot), maxQueuePerSlot)
	return float64(s.Slots) * (1 + queue - limits.Headroom)
}

// HasRoom reports whether the server can take one more request.
func (s Server) HasRoom(limits Limits) bool { return s.Outstanding()+1 <= s.Capacity(limits) }

// Wait returns the expected queueing time of a new request at the server.
func (s Server) Wait() time.Duration {
	ahead := s.Outstanding() + 1 - float64(s.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(s.Slots) * float64(s.RunTime))
}

// ExpectedLatency returns the expected latency of a new request, increased by a penalty for the failure rate of the
// server.
func (s Server) ExpectedLatency() time.Duration {
	latency := s.NetworkCost + s.Wait() + s.RunTime
	if s.Slowdown > 0 {
		latency = s.NetworkCost + time.Duration(s.Slowdown*float64(s.Wait()+s.RunTime))
	}
	const maxFailureRate = 0.9
	successRate := 1 - min(s.FailureRate, maxFailureRate)
	return time.Duration(float64(latency) / (successRate * successRate))
}

// SampleSize is the number of servers with room that are compared in the gateway's own zone, and likewise in the other
// zones. If every gateway chose the best of all servers, they would all pick the same one until they learn of each
// other's requests.
const SampleSize = 2

// HonorSuspensions reports whether suspensions are honored. If more than half of the servers are suspended, they are
// ignored, so that the remaining servers are not overloaded.
func HonorSuspensions(suspended, servers int) bool { return 2*suspended <= servers }

// Candidates are the servers that are eligible for a request.
type Candidates struct {
	// SameZone and OtherZones are the indices of the servers in this gateway's zone and in other zones. Both slices are
	// reordered when a server is chosen.
	SameZone, OtherZones []int
	// State returns the state of the server with the given index.
	State func(index int) Server
}

// Choose returns the index of a server with room, or -1 if there is none. It compares the expected latency of a
// few servers drawn at random from the gateway's own zone. Servers in other zones are sampled as well unless one of
// these is fast enough.
func Choose(candidates Candidates, limits Limits, random *rand.Rand) int {
	sameZone, sameZoneLatency := candidates.sampleFastest(candidates.SameZone, limits, random)
	if sameZone >= 0 && sameZoneLatency <= time.Duration(sameZoneTargetRatio*float64(limits.Target)) {
		return sameZone
	}
	otherZone, otherZoneLatency := candidates.sampleFastest(candidates.OtherZones, limits, random)
	if sameZone < 0 || otherZone >= 0 && otherZoneLatency < sameZoneLatency {
		return otherZone
	}
	return sameZone
}

// sameZoneTargetRatio is the fraction of the latency objective within which a server in the gateway's own zone is
// chosen without looking at other zones, because traffic between zones is billed.
const sameZoneTargetRatio = 0.5

// sampleFastest draws a few servers with room at random and returns the index and expected latency of the fastest.
// The index is -1 if no server has room.
func (c Candidates) sampleFastest(indices []int, limits Limits, random *rand.Rand) (int, time.Duration) {
	best, bestLatency := -1, time.Duration(0)
	sampled := 0
	for i := range indices {
		j := i + random.IntN(len(indices)-i)
		indices[i], indices[j] = indices[j], indices[i]
		state := c.State(indices[i])
		if !state.HasRoom(limits) {
			continue
		}
		if latency := state.ExpectedLatency(); best < 0 || latency < bestLatency {
			best, bestLatency = indices[i], latency
		}
		if sampled++; sampled == SampleSize {
			break
		}
	}
	return best, bestLatency
}
