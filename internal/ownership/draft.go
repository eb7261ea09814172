package ownership

import (
	"cmp"
	"slices"
)

// draft is a plan in the making.
type draft struct {
	settings PlannerSettings
	// sums holds the rates of all keys below an index.
	sums    []float64
	servers []*draftServer
	orphans []Row
	moves   []Move
}

// draftServer is a candidate with the rows that it would have.
type draftServer struct {
	Candidate
	rows []draftRow
	rate float64
}

type draftRow struct {
	Keys
	// fixed rows are about to move already and stay as they are.
	fixed bool
}

func newDraft(settings PlannerSettings, rows []Row, candidates []Candidate, load Load) *draft {
	d := &draft{settings: settings, sums: make([]float64, settings.Keys+1)}
	base := settings.MinRate / float64(settings.Keys)
	for key := range settings.Keys {
		d.sums[key+1] = d.sums[key] + base + load.Rate(key)
	}
	byLife := make(map[life]*draftServer, len(candidates))
	for _, candidate := range candidates {
		server := &draftServer{Candidate: candidate}
		d.servers = append(d.servers, server)
		byLife[life{candidate.ID, candidate.Born}] = server
	}
	slices.SortFunc(d.servers, func(a, b *draftServer) int { return cmp.Compare(a.ID, b.ID) })
	for _, row := range rows {
		if row.Pinned {
			continue
		}
		server := byLife[life{row.Owner.ID, row.Owner.Born}]
		if server == nil {
			d.orphans = append(d.orphans, row)
			continue
		}
		server.rows = append(server.rows, draftRow{Keys: row.Keys, fixed: row.Moving || !row.Confirmed})
		server.rate += d.rate(row.Keys)
	}
	return d
}

// rate returns the request rate of a range.
func (d *draft) rate(keys Keys) float64 { return d.sums[keys.Last+1] - d.sums[keys.First] }

// utilization is the rate of a server as a share of its capacity.
func (s *draftServer) utilization() float64 { return s.rate / s.Capacity }

// mean returns the utilization if the load were even.
func (d *draft) mean() float64 {
	capacity := 0.0
	for _, server := range d.servers {
		capacity += server.Capacity
	}
	return d.sums[d.settings.Keys] / capacity
}

// lowest returns the server with the lowest utilization.
func (d *draft) lowest() *draftServer {
	return slices.MinFunc(d.servers, func(a, b *draftServer) int { return cmp.Compare(a.utilization(), b.utilization()) })
}

// move notes that keys go to a server.
func (d *draft) move(keys Keys, to *draftServer) {
	d.moves = append(d.moves, Move{Keys: keys, To: to.Holder})
	to.rows = append(to.rows, draftRow{Keys: keys, fixed: true})
	to.rate += d.rate(keys)
}

// placeOrphans gives keys without an owner to the servers with room, in pieces that fit.
func (d *draft) placeOrphans() {
	mean := d.mean()
	for _, orphan := range d.orphans {
		if orphan.Moving && len(orphan.Former) > 0 {
			// A release under way belongs to exactly these keys.
			d.move(orphan.Keys, d.lowest())
			continue
		}
		rest := orphan.Keys
		for rest.First <= rest.Last {
			to := d.lowest()
			room := max(mean*to.Capacity-to.rate, d.rate(orphan.Keys)/float64(len(d.servers)))
			piece := d.prefix(rest, room)
			d.move(piece, to)
			rest.First = piece.Last + 1
		}
	}
}

// fillEmpty gives keys to servers that have none, however little the others have to do: a server that has joined
// would learn of more load only after the others are too busy.
func (d *draft) fillEmpty() {
	mean := d.mean()
	for _, to := range d.servers {
		if len(to.rows) > 0 {
			continue
		}
		from := d.busiest(nil)
		row := from.largest(d)
		if row < 0 {
			return
		}
		keys := from.rows[row].Keys
		wanted := min(mean*to.Capacity, d.rate(keys)/2)
		piece := d.prefix(keys, wanted)
		if piece == keys {
			continue
		}
		d.take(from, row, piece, to)
	}
}

// largest returns the index of the row with the highest rate that can be divided, or -1.
func (s *draftServer) largest(d *draft) int {
	best := -1
	for i, row := range s.rows {
		if !row.fixed && row.Count() > 1 && (best < 0 || d.rate(row.Keys) > d.rate(s.rows[best].Keys)) {
			best = i
		}
	}
	return best
}

// prefix returns the first keys of a range with about the given rate, and all of it if hardly anything is left.
func (d *draft) prefix(keys Keys, rate float64) Keys {
	limit := d.sums[keys.First] + rate
	last, _ := slices.BinarySearch(d.sums[keys.First+1:keys.Last+2], limit)
	end := min(keys.First+last, keys.Last)
	const leftover = 0.05
	if d.sums[keys.Last+1]-d.sums[end+1] < leftover*rate {
		end = keys.Last
	}
	return Keys{First: keys.First, Last: end}
}
