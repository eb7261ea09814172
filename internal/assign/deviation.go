package assign

import (
	"math"
	"slices"
)

// errorFactor is the number of standard errors that a deviation must exceed in addition to StartAt.
const errorFactor = 2

// findDeviations marks the servers whose load deviates from their share by more than StartAt and the error of the
// load. The share of a server with a key that is too hot is that key alone.
func (r *round) findDeviations() {
	r.over = make([]bool, len(r.capacity))
	r.under = make([]bool, len(r.capacity))
	full := make([]float64, len(r.capacity))
	for i := range r.tooHot {
		key := &r.units[len(r.in.Partitions)+i]
		full[key.owner] += key.load
	}
	errors := r.loadErrors()
	for server, capacity := range r.capacity {
		share := capacity * r.share
		slack := r.tuning.StartThreshold*share + errors[server]
		want := max(share, full[server])
		r.over[server] = capacity > 0 && r.load[server] > want+slack
		r.under[server] = r.load[server] < want-slack
	}
}

// loadErrors returns the deviation of each server that the errors of its partitions explain.
func (r *round) loadErrors() []float64 {
	errors := make([]float64, len(r.capacity))
	for i := range r.in.Partitions {
		if owner := r.units[i].owner; owner != noServer {
			errors[owner]++
		}
	}
	for server, partitions := range errors {
		errors[server] = errorFactor * cleanLoad(r.in.LoadError) * math.Sqrt(partitions)
	}
	return errors
}

// deviates reports whether a server is marked.
func (r *round) deviates() bool {
	return slices.Contains(r.over, true) || slices.Contains(r.under, true)
}
