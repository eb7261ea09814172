package assign

import (
	"math"
	"slices"
)

// standardErrorFactor is the number of standard errors that a deviation must exceed in addition to StartThreshold,
// so that sampling noise triggers no moves.
const standardErrorFactor = 2

// findDeviations marks the servers whose load deviates from their fair share by more than StartThreshold plus
// the sampling error. A server that owns an oversized key is expected to carry the load of that key alone.
func (r *round) findDeviations() {
	r.overloaded = make([]bool, len(r.capacity))
	r.underloaded = make([]bool, len(r.capacity))
	oversizedLoad := make([]float64, len(r.capacity))
	for i := range r.oversizedKeys {
		key := &r.units[len(r.in.Partitions)+i]
		oversizedLoad[key.owner] += key.load
	}
	standardErrors := r.samplingErrors()
	for server, capacity := range r.capacity {
		share := capacity * r.fairShare
		tolerance := r.tuning.StartThreshold*share + standardErrors[server]
		expected := max(share, oversizedLoad[server])
		r.overloaded[server] = capacity > 0 && r.load[server] > expected+tolerance
		r.underloaded[server] = r.load[server] < expected-tolerance
	}
}

// samplingErrors returns the deviation of each server that the sampling errors of its partitions can explain.
func (r *round) samplingErrors() []float64 {
	standardErrors := make([]float64, len(r.capacity))
	for i := range r.in.Partitions {
		if owner := r.units[i].owner; owner != noServer {
			standardErrors[owner]++
		}
	}
	for server, partitions := range standardErrors {
		standardErrors[server] = standardErrorFactor * sanitizeLoad(r.in.LoadError) * math.Sqrt(partitions)
	}
	return standardErrors
}

// hasDeviation reports whether any server is overloaded or underloaded.
func (r *round) hasDeviation() bool {
	return slices.Contains(r.overloaded, true) || slices.Contains(r.underloaded, true)
}
