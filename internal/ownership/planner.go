package ownership

// Candidate is a backend server that may be assigned keys.
type Candidate struct {
	Holder
	// Capacity is the number of average requests per second that the server can execute.
	Capacity float64
}

// Load provides the measured request rate of each key.
type Load interface {
	// Rate returns the requests per second for a key.
	Rate(key int) float64
}

// Planner assigns keys to backend servers. It handles uneven request rates, rates that shift within seconds, and
// servers that join, leave or differ in speed. To limit the number of moved keys, it takes keys away from a server only
// to reduce the load of the most utilized servers or to give keys to a server that has none.
type Planner struct {
	settings PlannerSettings
}

// PlannerSettings holds the thresholds of a planner.
type PlannerSettings struct {
	// Keys is the number of keys of the service.
	Keys int
	// Tolerance is the ratio to the mean utilization above which keys are moved away from a server.
	Tolerance float64
	// IdleUtilization is the utilization below which no keys are moved away from a server to balance the load, however
	// uneven it is.
	IdleUtilization float64
	// MaxMoves limits the moves per plan. The limit applies up to 31 servers and grows by the same amount with every
	// further 32 servers.
	MaxMoves int
	// MinRate is a base request rate that is spread evenly over all keys, so that keys without requests are distributed
	// too.
	MinRate float64
}

// serversPerMaxMoves is the number of servers for which the limit grows by another MaxMoves.
const serversPerMaxMoves = 32

// NewPlanner returns a planner with the given thresholds.
func NewPlanner(settings PlannerSettings) *Planner { return &Planner{settings: settings} }

// Plan returns moves that assign every key to one of the candidates and balance their utilization.
func (p *Planner) Plan(rows []Row, candidates []Candidate, load Load) []Move {
	if len(candidates) == 0 {
		return nil
	}
	d := newDraft(p.settings, rows, candidates, load)
	d.assignOrphans()
	d.fillEmptyServers()
	d.balance()
	return d.moves
}
