package assign

import "time"

// isRamping reports whether a server has not reached its full capacity yet.
func (r *round) isRamping(server int32) bool {
	return r.tuning.rampShare(r.in.Servers[server].ColdSince, r.in.Now) < 1
}

// rampShare returns the share of its capacity that a server may use at time now. It grows linearly from
// RampInitialFraction to 1 during RampDuration. A coldSince in the future, which a change of holder can cause, counts as
// now.
func (t *Tuning) rampShare(coldSince, now time.Duration) float64 {
	if t.RampDuration <= 0 || coldSince <= now-t.RampDuration {
		return 1
	}
	age := max(0, now-coldSince)
	return t.RampInitialFraction + (1-t.RampInitialFraction)*float64(age)/float64(t.RampDuration)
}
