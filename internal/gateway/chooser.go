package gateway

import (
	"math/rand/v2"
	"sync"
)

// chooser picks among backend servers of services that are not divided by key, by the calls of this gateway
// that are in progress.
type chooser struct {
	// mu protects the fields below.
	mu       sync.Mutex
	byServer map[string]int
	byCell   map[cellLoad]int
}

// cellLoad names the calls of one service that were sent to another cell.
type cellLoad struct {
	service string
	host    string
}

func newChooser() *chooser {
	return &chooser{byServer: make(map[string]int), byCell: make(map[cellLoad]int)}
}

// choose returns the less loaded of two random candidates.
func (s *chooser) choose(service string, candidates []target) target {
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byServer[b.server] < s.byServer[a.server] {
		return b
	}
	return a
}

// spill returns another cell if the servers of this one are far more loaded, or if there are none.
func (s *chooser) spill(c *call, candidates []target) (string, bool) {
	if len(c.route.remote) == 0 {
		return "", false
	}
	if len(candidates) > 0 && !s.overloaded(c.route.Slots, candidates) {
		return "", false
	}
	return c.route.remote[rand.IntN(len(c.route.remote))], true
}

func (s *chooser) overloaded(slots int, candidates []target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, t := range candidates {
		total += s.byServer[t.server]
	}
	return total >= slots*len(candidates)
}

// started counts a call that goes to t and returns the function that ends it.
func (s *chooser) started(service string, t target) func() {
	s.add(service, t, 1)
	return func() { s.add(service, t, -1) }
}

func (s *chooser) add(service string, t target, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.server != "" {
		s.byServer[t.server] += n
		return
	}
	s.byCell[cellLoad{service: service, host: t.host}] += n
}
