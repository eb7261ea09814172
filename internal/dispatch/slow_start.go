package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"
)

// updateSlowStart switches the limit of a server on while it starts slowly.
func (s *service) updateSlowStart(server *server, now time.Duration) {
	rate := 0.0
	if s.slowStart.Rate > 0 && server.known.WarmingUp(now) {
		rate = s.slowStart.Rate
	}
	server.limits.setSlowStart(rate, now)
}

// admitsRate reports whether a request is within the limits of a server's rate.
func (s *service) admitsRate(server *server, now time.Duration) bool {
	s.updateSlowStart(server, now)
	return server.limits.admits(now, s.gateways)
}

// logSlowStarts logs, once a service, that servers have begun to start slowly.
func (d *Dispatcher) logSlowStarts() {
	now := d.clock()
	for name, s := range d.services {
		begun, starting := 0, 0
		for _, server := range s.servers {
			before := server.limits.slowStart.Limited()
			s.updateSlowStart(server, now)
			if server.limits.slowStart.Limited() {
				starting++
				if !before {
					begun++
				}
			}
		}
		if begun > 0 {
			d.log.WithFields(logrus.Fields{
				"service": name, "begun": begun, "starting": starting, "rate": s.slowStart.Rate, "gateways": d.gateways,
			}).Info("backend servers start slowly; the gateways share a rate of requests to each")
		}
	}
}

// SlowStartServers returns the number of backend servers that start slowly, and so get a limited rate of requests.
func (d *Dispatcher) SlowStartServers() int {
	return d.countServers(func(s *server, _ time.Duration) bool { return s.limits.slowStart.Limited() })
}
