package dispatch

import "github.com/sapphireplank/sapphireplank/internal/quota"

// observeLimit applies what a backend server stated about its request rate.
func (d *Dispatcher) observeLimit(s *server, statement quota.Statement) {
	before := s.statement
	if !statement.NewerThan(before) {
		return
	}
	s.statement = statement
	if before.Limited == statement.Limited && before.Limit == statement.Limit {
		return
	}
	log := d.log.WithField("server", s.registered.ID).WithField("service", s.registered.Service)
	if !statement.Limited {
		log.Info("backend server no longer limits its requests")
		return
	}
	log.WithField("limit", statement.Limit).Info("backend server limits its requests a second")
}

// LimitedServers returns the number of backend servers that limit their requests.
func (d *Dispatcher) LimitedServers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, s := range d.servers {
		if s.statement.Limited {
			count++
		}
	}
	return count
}
