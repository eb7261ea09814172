package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/relay"
)

// Loads returns the number of this gateway's requests at each backend server, by the hash of the server.
func (d *Dispatcher) Loads() map[uint32]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[uint32]int)
	for _, s := range d.servers {
		if s.ownRequests > 0 {
			loads[s.hash] = s.ownRequests
		}
	}
	return loads
}

// SetLoads sets the number of requests of all gateways at each backend server. The totals include this gateway's
// own requests as it last reported them, which is close to their current number.
func (d *Dispatcher) SetLoads(total map[uint32]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for _, s := range d.servers {
		s.peerRequests = max(0, total[s.hash]-s.ownRequests)
		s.peerRequestsAt, s.peerRequestsKnown = now, true
	}
	d.placeQueued()
}

// RunTimes returns the run times at each backend server as measured by this gateway.
func (d *Dispatcher) RunTimes() map[uint32]relay.RunTime {
	d.mu.Lock()
	defer d.mu.Unlock()
	runTimes := make(map[uint32]relay.RunTime)
	for _, s := range d.servers {
		if mean, count := s.runTime.Mean(); count > 0 {
			runTimes[s.hash] = relay.RunTime{Mean: mean, Measurements: count}
		}
	}
	return runTimes
}

// SetRunTimes sets the run times at each backend server as measured by all gateways.
func (d *Dispatcher) SetRunTimes(runTimes map[uint32]relay.RunTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.sharedRunTime = runTimes[s.hash].Mean
	}
}

// SuspendedServers returns the number of suspended backend servers.
func (d *Dispatcher) SuspendedServers() int {
	return d.countServers(func(s *server, now time.Duration) bool { return s.known.Failures.Suspended(now) })
}

// CloseIdleConnections closes connections to backend servers that have exceeded their idle timeout.
func (d *Dispatcher) CloseIdleConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.pool.CloseExpired()
	}
}
