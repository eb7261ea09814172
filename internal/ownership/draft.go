package ownership

import (
	"cmp"
	"slices"
)

// draft is the working state of one planning run.
type draft struct {
	settings PlannerSettings
	// prefixSums[i] is the sum of the rates of all keys below i.
	prefixSums []float64
	servers    []*draftServer
	// orphans are the rows whose owner is not a candidate.
	orphans []Row
	moves   []Move
}

// draftServer is a candidate with the rows and the request rate that it has under the plan.
type draftServer struct {
	Candidate
	rows []draftRow
	rate float64
}

type draftRow struct {
	Keys
	// fixed is true for rows that are already moving or have unconfirmed grants. They are not moved.
	fixed bool
}

func newDraft(settings PlannerSettings, rows []Row, candidates []Candidate, load Load) *draft {
	d := &draft{settings: settings, prefixSums: make([]float64, settings.Keys+1)}
	baseRate := settings.MinRate / float64(settings.Keys)
	for key := range settings.Keys {
		d.prefixSums[key+1] = d.prefixSums[key] + baseRate + load.Rate(key)
	}
	byIncarnation := make(map[incarnation]*draftServer, len(candidates))
	for _, candidate := range candidates {
		server := &draftServer{Candidate: candidate}
		d.servers = append(d.servers, server)
		byIncarnation[incarnation{candidate.ID, candidate.StartedAtMs}] = server
	}
	slices.SortFunc(d.servers, func(a, b *draftServer) int { return cmp.Compare(a.ID, b.ID) })
	for _, row := range rows {
		if row.Pinned {
			continue
		}
		server := byIncarnation[incarnation{row.Owner.ID, row.Owner.StartedAtMs}]
		if server == nil {
			d.orphans = append(d.orphans, row)
			continue
		}
		server.rows = append(server.rows, draftRow{Keys: row.Keys, fixed: row.Moving || !row.Confirmed})
		server.rate += d.rate(row.Keys)
	}
	return d
}

// rate returns the total request rate of a range of keys.
func (d *draft) rate(keys Keys) float64 { return d.prefixSums[keys.Last+1] - d.prefixSums[keys.First] }

// utilization returns the request rate of a server as a fraction of its capacity.
func (s *draftServer) utilization() float64 { return s.rate / s.Capacity }

// certainUtilization returns the utilization of a server less what chance may add to its measured rate.
func (s *draftServer) certainUtilization() float64 {
	const deviations = 2
	return (s.rate - deviations*steadyDeviation(s.rate)) / s.Capacity
}

// meanUtilization returns the utilization that every server would have under an even load.
func (d *draft) meanUtilization() float64 {
	capacity := 0.0
	for _, server := range d.servers {
		capacity += server.Capacity
	}
	return d.prefixSums[d.settings.Keys] / capacity
}

// leastUtilized returns the server with the lowest utilization.
func (d *draft) leastUtilized() *draftServer {
	return slices.MinFunc(d.servers, func(a, b *draftServer) int { return cmp.Compare(a.utilization(), b.utilization()) })
}

// addMove adds a move of keys to a server to the plan.
func (d *draft) addMove(keys Keys, to *draftServer) {
	d.moves = append(d.moves, Move{Keys: keys, To: to.Holder})
	to.rows = append(to.rows, draftRow{Keys: keys, fixed: true})
	to.rate += d.rate(keys)
}

// assignOrphans assigns rows whose owner is not a candidate to the least utilized servers, split into pieces that fit
// their spare capacity.
func (d *draft) assignOrphans() {
	mean := d.meanUtilization()
	for _, orphan := range d.orphans {
		if orphan.Moving && len(orphan.Former) > 0 {
			// A pending release applies to exactly these keys, so the row must not be split.
			d.addMove(orphan.Keys, d.leastUtilized())
			continue
		}
		rest := orphan.Keys
		for rest.First <= rest.Last {
			to := d.leastUtilized()
			room := max(mean*to.Capacity-to.rate, d.rate(orphan.Keys)/float64(len(d.servers)))
			piece := d.prefixWithRate(rest, room)
			d.addMove(piece, to)
			rest.First = piece.Last + 1
		}
	}
}

// fillEmptyServers moves keys to servers that have none, regardless of the utilization of the others. Otherwise a
// server that has just joined would receive load only once the others were overloaded.
func (d *draft) fillEmptyServers() {
	mean := d.meanUtilization()
	for _, to := range d.servers {
		if len(to.rows) > 0 {
			continue
		}
		from := d.mostUtilized(nil)
		row := from.largestSplittableRow(d)
		if row < 0 {
			return
		}
		keys := from.rows[row].Keys
		wanted := min(mean*to.Capacity, d.rate(keys)/2)
		piece := d.prefixWithRate(keys, wanted)
		if piece == keys {
			continue
		}
		d.moveRange(from, row, piece, to)
	}
}

// largestSplittableRow returns the index of the row with the highest rate among those that may be moved and have more
// than one key, or -1.
func (s *draftServer) largestSplittableRow(d *draft) int {
	best := -1
	for i, row := range s.rows {
		if !row.fixed && row.Count() > 1 && (best < 0 || d.rate(row.Keys) > d.rate(s.rows[best].Keys)) {
			best = i
		}
	}
	return best
}

// prefixWithRate returns the first keys of a range with approximately the given rate, or the whole range if the
// remainder would be insignificant.
func (d *draft) prefixWithRate(keys Keys, rate float64) Keys {
	limit := d.prefixSums[keys.First] + rate
	last, _ := slices.BinarySearch(d.prefixSums[keys.First+1:keys.Last+2], limit)
	end := min(keys.First+last, keys.Last)
	const minRemainder = 0.05
	if d.prefixSums[keys.Last+1]-d.prefixSums[end+1] < minRemainder*rate {
		end = keys.Last
	}
	return Keys{First: keys.First, Last: end}
}
