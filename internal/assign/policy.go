package assign

import "github.com/sapphireplank/sapphireplank/internal/config"

// Policy is the assignment policy of one service in one cell. It is stateless and safe for concurrent use.
type Policy struct {
	// Tuning returns the thresholds for a preference. Default: DefaultTuning.
	Tuning func(config.Preference) Tuning
}

// Next computes one round of assignment. It does not change in and keeps no reference to its slices.
//
// If units have no owner or their server leaves, the round places those units and does no balancing. If no server is
// up, all units keep their owners.
func (p Policy) Next(in *Input) *Result {
	tuning := p.tuning(in.Preference)
	r := newRound(in, &tuning)
	if r.totalCapacity == 0 || len(r.units) == 0 {
		return r.result()
	}
	r.computeFairShare()
	r.sumLoads()
	r.placeForcedUnits()
	if r.forcedMoves == 0 {
		r.balance()
	}
	return r.result()
}

func (p Policy) tuning(preference config.Preference) Tuning {
	if p.Tuning != nil {
		return p.Tuning(preference)
	}
	return DefaultTuning(preference)
}
