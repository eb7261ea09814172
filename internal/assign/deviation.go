package assign

import "slices"

// findDeviations marks the servers whose load deviates from their share by more than StartAt. The share of a server
// with a key that is too hot is that key alone.
func (r *round) findDeviations() {
	r.over = make([]bool, len(r.capacity))
	r.under = make([]bool, len(r.capacity))
	full := make([]float64, len(r.capacity))
	for i := range r.tooHot {
		key := &r.units[len(r.in.Partitions)+i]
		full[key.owner] += key.load
	}
	for server, capacity := range r.capacity {
		share := capacity * r.share
		want := max(share, full[server])
		r.over[server] = capacity > 0 && r.load[server] > want+r.tuning.StartAt*share
		r.under[server] = r.load[server] < want-r.tuning.StartAt*share
	}
}

// deviates reports whether a server is marked.
func (r *round) deviates() bool {
	return slices.Contains(r.over, true) || slices.Contains(r.under, true)
}
