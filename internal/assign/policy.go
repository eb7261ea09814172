package assign

import "github.com/sapphireplank/sapphireplank/internal/config"

// Policy is the assignment policy of one service in one cell. It has no state and is safe for concurrent use.
type Policy struct {
	// Tuning returns the thresholds for a preference. Default: DefaultTuning.
	Tuning func(config.Preference) Tuning
}

// Next computes one round of assignment. It does not change in and keeps no reference to its slices.
//
// A round in which a server leaves moves only what the leaver owned. If no server is up, everything keeps its
// previous owner.
func (p Policy) Next(in *Input) *Result {
	tuning := p.tuning(in.Preference)
	r := newRound(in, &tuning)
	if r.capacitySum == 0 || len(r.units) == 0 {
		return r.result()
	}
	r.computeShare()
	r.sumLoads()
	r.placeForced()
	if r.forced == 0 {
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
