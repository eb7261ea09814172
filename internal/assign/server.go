package assign

import (
	"math"
	"time"
)

// State determines whether a backend server may own units. Its values equal those of cell.ServerState.
type State string

// States of a backend server.
const (
	// Up servers own units and receive new ones.
	Up State = "up"
	// Draining servers hand over their units until DrainDeadline and receive no new ones.
	Draining State = "draining"
	// Down servers lose all units immediately.
	Down State = "down"
)

// Warm is the ColdSince of a server that has completed its ramp.
const Warm = time.Duration(math.MinInt64 / 2)

// Server is one backend server as the policy sees it.
type Server struct {
	// Name is unique within the service.
	Name string
	// Weight is the relative capacity. A weight that is not positive and finite counts as 1.
	Weight float64
	State  State
	// ColdSince is the monotonic time at which the server started with cold caches, or Warm.
	ColdSince time.Duration
	// DrainDeadline is the monotonic time by which a draining server must own no units. A time in the past,
	// such as the zero value, moves all units in the next round.
	DrainDeadline time.Duration
}

// effectiveWeight returns the weight of the server, or 1 if the weight is not positive and finite.
func (s *Server) effectiveWeight() float64 {
	if s.Weight > 0 && !math.IsInf(s.Weight, 1) {
		return s.Weight
	}
	return 1
}
