package dispatch

import "github.com/sapphireplank/sapphireplank/internal/relay"

// Loads returns the requests of this gateway at each backend server, by the hash of the server.
func (d *Dispatcher) Loads() map[uint32]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[uint32]int)
	for _, s := range d.servers {
		if s.own > 0 {
			loads[s.hash] = s.own
		}
	}
	return loads
}

// SetLoads takes the requests of all gateways at each backend server. They include those of this gateway as it last
// reported them, which is about what it has now.
func (d *Dispatcher) SetLoads(total map[uint32]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for _, s := range d.servers {
		s.fleet = max(0, total[s.hash]-s.own)
		s.fleetAt, s.fleetKnown = now, true
	}
	d.pump()
}

// Works returns how long requests run at each backend server, as this gateway measured it.
func (d *Dispatcher) Works() map[uint32]relay.RunTime {
	d.mu.Lock()
	defer d.mu.Unlock()
	works := make(map[uint32]relay.RunTime)
	for _, s := range d.servers {
		if mean, count := s.work.Mean(); count > 0 {
			works[s.hash] = relay.RunTime{Mean: mean, Measurements: count}
		}
	}
	return works
}

// SetWorks takes how long requests run at each backend server, as all gateways measured it.
func (d *Dispatcher) SetWorks(works map[uint32]relay.RunTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.fleetWork = works[s.hash].Mean
	}
}

// SuspendedServers returns the number of backend servers that get no requests after silent or lost ones.
func (d *Dispatcher) SuspendedServers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, s := range d.servers {
		if s.record.Suspended(d.clock()) {
			count++
		}
	}
	return count
}

// CloseIdleConnections closes connections to backend servers that were idle for too long.
func (d *Dispatcher) CloseIdleConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.pool.CloseExpired()
	}
}
