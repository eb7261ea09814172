package assign

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Tuning holds the thresholds of the policy. Shares are relative to the load that a server would have if the load
// were divided exactly by capacity.
type Tuning struct {
	// StartAt is the deviation of a server from its share at which balancing starts.
	StartAt float64
	// StopAt is the deviation at which balancing stops.
	StopAt float64
	// MoveShare bounds the balancing moves of one round, as a share of the partitions and overrides.
	MoveShare float64
	// PartitionWait is the time for which a deviation must last before whole partitions move to remove it. Hot keys
	// move at once, because a key is small and a change of the hot keys is often over after they moved.
	PartitionWait time.Duration
	// SplitAt is the load of a key, as a share of one server, at which it leaves its partition.
	SplitAt float64
	// ReturnAt is the load of a key, as a share of one server, below which it may return.
	ReturnAt float64
	// ReturnAfter is the time for which a key must stay below ReturnAt before it returns.
	ReturnAfter time.Duration
	// StayAtLeast is the shortest time between leaving the partition and returning to it.
	StayAtLeast time.Duration
	// RampTime is the time in which a cold server reaches its full capacity.
	RampTime time.Duration
	// RampFloor is the share of its capacity with which a cold server starts.
	RampFloor float64
	// RoundInterval is the time between two rounds. It spreads the moves of a draining server.
	RoundInterval time.Duration
}

// minMoves is the least bound of balancing moves in one round, so that small services converge.
const minMoves = 4

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

// moveLimit returns the bound of balancing moves for a number of partitions and overrides.
func (t *Tuning) moveLimit(units int) int {
	return max(minMoves, int(t.MoveShare*float64(units)))
}
