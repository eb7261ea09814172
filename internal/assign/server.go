package assign

import (
	"math"
	"time"
)

// State says what work a backend server may get. Its values equal those of cell.ServerState.
type State string

// States of a backend server.
const (
	// Up takes and keeps ownership.
	Up State = "up"
	// Draining keeps what it owns until DrainBy and gets nothing new.
	Draining State = "draining"
	// Down loses everything at once.
	Down State = "down"
)

// Warm is a ColdSince of a server whose ramp is over.
const Warm = time.Duration(math.MinInt64 / 2)

// Server is one backend server as the policy sees it.
type Server struct {
	// Name is unique within the service.
	Name string
	// Weight is the relative capacity. A weight that is not positive counts as 1.
	Weight float64
	State  State
	// ColdSince is the monotonic time at which the server came up with cold caches, or Warm.
	ColdSince time.Duration
	// DrainDeadline is the monotonic time at which a draining server must own nothing. A time in the past, as the zero
	// value, moves everything in the next round.
	DrainDeadline time.Duration
}

// effectiveWeight returns the weight of the server, or 1 if none is set.
func (s *Server) effectiveWeight() float64 {
	if s.Weight > 0 && !math.IsInf(s.Weight, 1) {
		return s.Weight
	}
	return 1
}
