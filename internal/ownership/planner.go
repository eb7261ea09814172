package ownership

// Candidate is a backend server that may own keys.
type Candidate struct {
	Holder
	// Capacity is the number of average requests a second that the server can run.
	Capacity float64
}

// Load is the measured request rate of each key.
type Load interface {
	// Rate returns the requests a second for a key.
	Rate(key int) float64
}

// Planner chooses owners. It answers the load of keys: uneven rates, rates that shift within seconds, and backend
// servers that join, leave or differ in speed. It moves few keys: only what brings the busiest servers down.
type Planner struct {
	settings PlannerSettings
}

// PlannerSettings are the thresholds of a planner.
type PlannerSettings struct {
	// Keys is the number of keys.
	Keys int
	// Tolerance is how far above the mean utilization a server may be before keys move away from it.
	Tolerance float64
	// IdleUtilization is the utilization below which a server gives nothing away, however uneven the load is.
	IdleUtilization float64
	// MaxMoves bounds the moves of one plan, for each 32 servers or fewer.
	MaxMoves int
	// MinRate is the request rate assumed for all keys together, so that keys without requests are spread too.
	MinRate float64
}

// movesPer is the number of servers for which MaxMoves holds.
const movesPer = 32

// NewPlanner returns a planner.
func NewPlanner(settings PlannerSettings) *Planner { return &Planner{settings: settings} }

// Plan returns moves that give every key an owner among the candidates and even out their utilization.
func (p *Planner) Plan(rows []Row, candidates []Candidate, load Load) []Move {
	if len(candidates) == 0 {
		return nil
	}
	d := newDraft(p.settings, rows, candidates, load)
	d.placeOrphans()
	d.fillEmpty()
	d.evenOut()
	return d.moves
}
