package assign

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Tuning holds the thresholds of the policy. They are relative to the fair share of a server, which is its load if the
// total were distributed exactly in proportion to capacity.
type Tuning struct {
	// StartThreshold is the relative deviation of a server from its fair share above which balancing starts.
	StartThreshold float64
	// StopThreshold is the relative deviation below which balancing stops.
	StopThreshold float64
	// MaxMoveFraction bounds the balancing moves of one round as a fraction of the partitions and overrides.
	MaxMoveFraction float64
	// PartitionMoveDelay is the time for which a deviation must last before whole partitions move. Hot keys move at
	// once, because a key is small and moving the hot keys is often enough to correct the deviation.
	PartitionMoveDelay time.Duration
	// SplitThreshold is the load of a key, as a fraction of a server's fair share, from which it gets an override.
	SplitThreshold float64
	// ReturnThreshold is the load of a key, as a fraction of a server's fair share, below which its override may end.
	ReturnThreshold float64
	// ReturnDelay is the time for which a key must stay below ReturnThreshold before its override ends.
	ReturnDelay time.Duration
	// MinOverrideDuration is the minimum duration of an override.
	MinOverrideDuration time.Duration
	// RampDuration is the time that a cold server takes to reach its full capacity.
	RampDuration time.Duration
	// RampInitialFraction is the fraction of its capacity with which a cold server starts.
	RampInitialFraction float64
	// RoundInterval is the time between two rounds. It determines the number of batches in which a server drains.
	RoundInterval time.Duration
}

// minMoveLimit is the lower bound of the move limit, so that small services converge.
const minMoveLimit = 4

// DefaultTuning returns the thresholds for a preference.
func DefaultTuning(p config.Preference) Tuning {
	tuning := Tuning{
		StartThreshold:      0.08,
		StopThreshold:       0.03,
		MaxMoveFraction:     1.0 / 64,
		PartitionMoveDelay:  5 * time.Second,
		SplitThreshold:      0.10,
		ReturnThreshold:     0.05,
		ReturnDelay:         30 * time.Second,
		MinOverrideDuration: 60 * time.Second,
		RampDuration:        30 * time.Second,
		RampInitialFraction: 0.10,
		RoundInterval:       500 * time.Millisecond,
	}
	if p == config.PreferBalance {
		tuning.StartThreshold = 0.06
		tuning.StopThreshold = 0.02
		tuning.MaxMoveFraction = 1.0 / 32
		tuning.PartitionMoveDelay = 2 * time.Second
		tuning.SplitThreshold = 0.05
		tuning.ReturnThreshold = 0.025
	}
	return tuning
}

// moveLimit returns the maximum number of balancing moves in one round for a number of partitions and overrides.
func (t *Tuning) moveLimit(units int) int {
	return max(minMoveLimit, int(t.MaxMoveFraction*float64(units)))
}
