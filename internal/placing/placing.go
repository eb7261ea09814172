// Package placing chooses the backend server for a request. It is pure.
//
// It answers servers with few slots that many gateways share: a gateway knows its own requests exactly, and those
// of the others only from what servers and other gateways report, which is some time old.
package placing

import (
	"math/rand/v2"
	"time"
)

// Server is what is known about a backend server when a request has to be placed.
type Server struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// OwnRequests is the number of requests of this gateway at the server.
	OwnRequests int
	// PeerRequests is the estimated number of requests of other gateways.
	PeerRequests float64
	// RunTime is how long a request is expected to run on this server.
	RunTime time.Duration
	// NetworkCost is the round trip to the server.
	NetworkCost time.Duration
	// FailureRate is the share of requests that the server fails.
	FailureRate float64
}

// Limits bound the requests at a backend server.
type Limits struct {
	// Target is the latency objective of the request.
	Target time.Duration
}

const (
	// maxQueuePerSlot bounds the requests that wait at a server, per slot. Some servers never answer a request
	// that does not fit into their queue.
	maxQueuePerSlot = 2.0
	// minQueuePerSlot lets a request wait at a server even if its latency objective is short.
	minQueuePerSlot = 0.34
	// workSpread is how much longer than expected a request may run when the room for waiting is reckoned.
	workSpread = 1.3
)

// Outstanding returns the estimated number of requests at the server.
func (s Server) Outstanding() float64 { return float64(s.OwnRequests) + s.PeerRequests }

// Capacity returns the number of requests up to which one more may be placed on the server, so that it still
// meets the latency objective.
func (s Server) Capacity(limits Limits) float64 {
	spare := float64(limits.Target-s.NetworkCost)/float64(s.RunTime) - workSpread
	queue := min(max(spare, minQueuePerSlot), maxQueuePerSlot)
	return float64(s.Slots) * (1 + queue)
}

// HasRoom reports whether one more request may be placed on the server.
func (s Server) HasRoom(limits Limits) bool { return s.Outstanding()+1 <= s.Capacity(limits) }

// Wait returns how long a request is expected to wait at the server.
func (s Server) Wait() time.Duration {
	ahead := s.Outstanding() + 1 - float64(s.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(s.Slots) * float64(s.RunTime))
}

// ExpectedLatency returns when a request is expected to be answered, with the time that failures cost.
func (s Server) ExpectedLatency() time.Duration {
	plain := s.NetworkCost + s.Wait() + s.RunTime
	const worstShare = 0.9
	answered := 1 - min(s.FailureRate, worstShare)
	return time.Duration(float64(plain) / (answered * answered))
}

// SampleSize is how many servers of each distance are compared. Gateways that all chose the best of all servers would
// send to the same one until they hear of each other's requests.
const SampleSize = 2

// HonorSuspensions reports whether suspended servers get no request. Suspicion is not trusted when it is of more than half of
// the servers.
func HonorSuspensions(suspended, servers int) bool { return 2*suspended <= servers }

// Candidates are the servers that may get a request.
type Candidates struct {
	// SameZone are the indices of the servers in this gateway's zone, OtherZones those of the others. Choose reorders them.
	SameZone, OtherZones []int
	// State returns what is known about the server with an index.
	State func(index int) Server
}

// Choose returns the index of a server with room, or -1. It takes the one with the least expected finish of a few that
// are drawn at random: of near ones, and of far ones too unless a near one is quick enough.
func Choose(candidates Candidates, limits Limits, random *rand.Rand) int {
	near, nearFinish := candidates.quickest(candidates.SameZone, limits, random)
	if near >= 0 && nearFinish <= time.Duration(comfort*float64(limits.Target)) {
		return near
	}
	far, farFinish := candidates.quickest(candidates.OtherZones, limits, random)
	if near < 0 || far >= 0 && farFinish < nearFinish {
		return far
	}
	return near
}

// comfort is the share of the latency objective within which a near server is good enough: bytes between zones are paid
// for.
const comfort = 0.5

// quickest draws a few servers with room and returns the index of the one with the least expected finish, or -1.
func (c Candidates) quickest(indices []int, limits Limits, random *rand.Rand) (int, time.Duration) {
	best, bestFinish := -1, time.Duration(0)
	drawn := 0
	for i := range indices {
		j := i + random.IntN(len(indices)-i)
		indices[i], indices[j] = indices[j], indices[i]
		state := c.State(indices[i])
		if !state.HasRoom(limits) {
			continue
		}
		if finish := state.ExpectedLatency(); best < 0 || finish < bestFinish {
			best, bestFinish = indices[i], finish
		}
		if drawn++; drawn == SampleSize {
			break
		}
	}
	return best, bestFinish
}
