package routing

import "sync"

// Splitter distributes the requests of each route over its services by smooth weighted round robin, so that the
// distribution is exact even over short runs of requests. It ignores the load of the services.
type Splitter struct {
	// mu protects the fields below.
	mu     sync.Mutex
	routes map[string]*weightedRoundRobin
}

// weightedRoundRobin is the state of one route.
type weightedRoundRobin struct {
	shares         []WeightedService
	currentWeights []int
}

func NewSplitter() *Splitter {
	return &Splitter{routes: make(map[string]*weightedRoundRobin)}
}

// Next selects the service for the next request of a route.
func (s *Splitter) Next(route *Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rotation := s.routes[route.Name]
	if rotation == nil || !equalShares(rotation.shares, route.Split) {
		rotation = &weightedRoundRobin{shares: route.Split, currentWeights: make([]int, len(route.Split))}
		s.routes[route.Name] = rotation
	}
	return rotation.next()
}

func (r *weightedRoundRobin) next() string {
	total, best := 0, 0
	for i, share := range r.shares {
		r.currentWeights[i] += share.Weight
		total += share.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= total
	return r.shares[best].Service
}

func equalShares(a, b []WeightedService) bool {
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
