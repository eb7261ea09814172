package zones

import "time"

// State is what is known of one availability zone. The zero value is a zone that was never drained.
type State struct {
	// Drained is true while the operator drains the zone.
	Drained bool
	// Since is the earliest time at which the drain may have been requested. It is meaningful only if Drained is set.
	Since time.Duration
	// ReturnedAt is when the last drain was taken back, or 0.
	ReturnedAt time.Duration
}

// States are the states of the zones that are drained or have been, by the name of the zone.
type States map[string]State
