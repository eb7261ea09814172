package assign

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Tuning holds the thresholds of the policy. Shares are relative to the load that a server would have if the load
// were divided exactly by capacity.
type Tuning struct {
	// StartThreshold is the deviation of a server from its share at which balancing starts.
	StartThreshold float64
	// StopThreshold is the deviation at which balancing stops.
	StopThreshold float64
	// MaxMoveFraction bounds the balancing moves of one round, as a share of the partitions and overrides.
	MaxMoveFraction float64
	// PartitionMoveDelay is the time for which a deviation must last before whole partitions move to remove it. Hot keys
	// move at once, because a key is small and a change of the hot keys is often over after they moved.
	PartitionMoveDelay time.Duration
	// SplitThreshold is the load of a key, as a share of one server, at which it leaves its partition.
	SplitThreshold float64
	// ReturnThreshold is the load of a key, as a share of one server, below which it may return.
	ReturnThreshold float64
	// ReturnDelay is the time for which a key must stay below ReturnAt before it returns.
	ReturnDelay time.Duration
	// MinOverrideDuration is the shortest time between leaving the partition and returning to it.
	MinOverrideDuration time.Duration
	// RampDuration is the time in which a cold server reaches its full capacity.
	RampDuration time.Duration
	// RampInitialFraction is the share of its capacity with which a cold server starts.
	RampInitialFraction float64
	// RoundInterval is the time between two rounds. It spreads the moves of a draining server.
	RoundInterval time.Duration
}

// minMoves is the least bound of balancing moves in one round, so that small services converge.
const minMoves = 4

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

// moveLimit returns the bound of balancing moves for a number of partitions and overrides.
func (t *Tuning) moveLimit(units int) int {
	return max(minMoves, int(t.MaxMoveFraction*float64(units)))
}
