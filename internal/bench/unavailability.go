package bench

import "github.com/sapphireplank/sapphireplank/internal/assign"

// unavailabilityMeter sums the modelled time for which each key has no owner during its moves.
type unavailabilityMeter struct {
	// millis and owners are indexed by key.
	millis []float64
	owners []int32
}

func newUnavailabilityMeter(keys int) *unavailabilityMeter {
	return &unavailabilityMeter{millis: make([]float64, keys), owners: make([]int32, keys)}
}

// recordOwners stores the current owner of each key, with which recordMoves compares.
func (u *unavailabilityMeter) recordOwners(r router) {
	for key := range u.owners {
		u.owners[key] = r.ownerOf(int32(key))
	}
}

// recordMoves adds the unavailable time of each key whose owner changed since the stored one, and stores the new owner.
func (u *unavailabilityMeter) recordMoves(r router, servers []assign.Server) {
	for key, before := range u.owners {
		after := r.ownerOf(int32(key))
		if before == after || before < 0 {
			continue
		}
		if servers[before].State == assign.Down {
			u.millis[key] += serverLossUnavailableMillis
		} else {
			u.millis[key] += plannedMoveUnavailableMillis
		}
		u.owners[key] = after
	}
}

func (u *unavailabilityMeter) unavailable() *Unavailability {
	sum, worst := 0.0, 0.0
	for _, millis := range u.millis {
		sum += millis
		worst = max(worst, millis)
	}
	return &Unavailability{MeanMillis: sum / float64(len(u.millis)), MaxMillis: worst}
}
