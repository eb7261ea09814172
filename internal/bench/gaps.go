package bench

import "github.com/sapphireplank/sapphireplank/internal/assign"

// gapMeter adds up the time for which each key has no owner because it moves.
type gapMeter struct {
	millis []float64
	before []int32
}

func newGapMeter(keys int) *gapMeter {
	return &gapMeter{millis: make([]float64, keys), before: make([]int32, keys)}
}

// snapshot records the owner of each key before a round.
func (g *gapMeter) snapshot(r router) {
	for key := range g.before {
		g.before[key] = r.ownerOf(int32(key))
	}
}

// compare adds the gap of each key whose owner changed since the last snapshot, and takes a new snapshot.
func (g *gapMeter) compare(r router, servers []assign.Server) {
	for key, before := range g.before {
		after := r.ownerOf(int32(key))
		if before == after || before < 0 {
			continue
		}
		if servers[before].State == assign.Down {
			g.millis[key] += lostGapMillis
		} else {
			g.millis[key] += plannedGapMillis
		}
		g.before[key] = after
	}
}

func (g *gapMeter) unavailable() *Unavailable {
	sum, worst := 0.0, 0.0
	for _, millis := range g.millis {
		sum += millis
		worst = max(worst, millis)
	}
	return &Unavailable{MeanMillis: sum / float64(len(g.millis)), WorstMillis: worst}
}
