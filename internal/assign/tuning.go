package assign

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Tuning holds the thresholds of the policy. They are relative to the fair share of a server, which is its load if the
// total were distributed exactly in proportion to capacity.
type Tuning struct {
	// StartAt is the relative deviation of a server from its fair share above which balancing starts.
	StartAt float64
	// StopAt is the relative deviation below which balancing stops.
	StopAt float64
	// MoveShare bounds the balancing moves of one round as a fraction of the partitions and overrides.
	MoveShare float64
	// PartitionWait is the time for which a deviation must last before whole partitions move. Hot keys move at once,
	// because a key is small and moving the hot keys is often enough to correct the deviation.
	PartitionWait time.Duration
	// SplitAt is the load of a key, as a fraction of a server's fair share, from which it gets an override.
	SplitAt float64
	// ReturnAt is the load of a key, as a fraction of a server's fair share, below which its override may end.
	ReturnAt float64
	// ReturnAfter is the time for which a key must stay below ReturnAt before its override ends.
	ReturnAfter time.Duration
	// StayAtLeast is the minimum duration of an override.
	StayAtLeast time.Duration
	// RampTime is the time that a cold server takes to reach its full capacity.
	RampTime time.Duration
	// RampFloor is the fraction of its capacity with which a cold server starts.
	RampFloor float64
	// RoundInterval is the time between two rounds. It determines the number of batches in which a server drains.
	RoundInterval time.Duration
}

// minMoveLimit is the lower bound of the move limit, so that small services converge.
const minMoveLimit = 4

// DefaultTuning returns the thresholds for a preference.
func DefaultTuning(p config.Preference) Tuning {
	tuning := Tuning{
		StartAt:       0.08,
		StopAt:        0.03,
		MoveShare:     1.0 / 64,
		PartitionWait: 5 * time.Second,
		SplitAt:       0.10,
		ReturnAt:      0.05,
		ReturnAfter:   30 * time.Second,
		StayAtLeast:   60 * time.Second,
		RampTime:      30 * time.Second,
		RampFloor:     0.10,
		RoundInterval: 500 * time.Millisecond,
	}
	if p == config.PreferBalance {
		tuning.StartAt = 0.06
		tuning.StopAt = 0.02
		tuning.MoveShare = 1.0 / 32
		tuning.PartitionWait = 2 * time.Second
		tuning.SplitAt = 0.05
		tuning.ReturnAt = 0.025
	}
	return tuning
}

// moveLimit returns the maximum number of balancing moves in one round for a number of partitions and overrides.
func (t *Tuning) moveLimit(units int) int {
	return max(minMoveLimit, int(t.MoveShare*float64(units)))
}
