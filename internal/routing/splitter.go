package routing

import "sync"

// Splitter deals the requests of each route to its services by smooth weighted round robin, so that the shares
// are exact over every short run of requests. It does not look at the load of the services.
type Splitter struct {
	// mu protects the fields below.
	mu     sync.Mutex
	routes map[string]*rotation
}

// rotation is the state of one route.
type rotation struct {
	shares  []WeightedService
	credits []int
}

// NewSplitter returns a splitter that has dealt nothing.
func NewSplitter() *Splitter {
	return &Splitter{routes: make(map[string]*rotation)}
}

// Next returns the service of the next request of a route.
func (s *Splitter) Next(route *Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	turn := s.routes[route.Name]
	if turn == nil || !sameShares(turn.shares, route.Split) {
		turn = &rotation{shares: route.Split, credits: make([]int, len(route.Split))}
		s.routes[route.Name] = turn
	}
	return turn.next()
}

func (r *rotation) next() string {
	total, best := 0, 0
	for i, share := range r.shares {
		r.credits[i] += share.Weight
		total += share.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= total
	return r.shares[best].Service
}

func sameShares(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
