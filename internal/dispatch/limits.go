package dispatch

import (
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/urgency"
)

// observeLimit applies what a backend server stated about its request rate.
func (d *Dispatcher) observeLimit(s *server, statement quota.Statement) {
	if s.limits.named.Observe(statement, d.clock()) {
		d.logLimit(s)
	}
}

func (d *Dispatcher) logLimit(s *server) {
	log := d.log.WithField("server", s.registered.ID).WithField("service", s.registered.Service)
	statement := s.limits.named.Statement()
	if !statement.Limited {
		log.Info("backend server no longer limits its requests")
		return
	}
	log.WithField("limit", statement.Limit).WithField("gateways", d.gateways).Info("backend server limits its requests a second")
}

// countDemand counts a request at the servers that limit their requests and for which it was chosen or waits.
func (c choice) countDemand() {
	if c.server != nil {
		c.server.limits.want()
		return
	}
	for _, s := range c.limited {
		s.limits.want()
	}
}

// limitedWait returns the expected time until one of the limited servers admits a request.
func (s *service) limitedWait(request *AcquireRequest, limited []*server, ahead int, now time.Duration) time.Duration {
	shortest := slowMoveWait
	for _, server := range limited {
		wait := server.limits.wait(urgency.Level(request.Priority), ahead/len(limited), now, s.gateways)
		shortest = min(shortest, wait)
	}
	return shortest
}

// QuotaReports returns the reports to the elected gateway on the servers that limit their requests.
func (d *Dispatcher) QuotaReports() []quota.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	var reports []quota.Report
	waiting := d.waitingByServer(now)
	for _, service := range d.services {
		for _, s := range service.servers {
			service.updateSlowStart(s, now)
			reports = append(reports, s.limits.reports(s.hash, waiting[s], now, d.gateways)...)
		}
	}
	return reports
}

// waitingByServer returns the queued requests that wait for a permit of each server. A request that several
// servers can run counts at one of them.
func (d *Dispatcher) waitingByServer(now time.Duration) map[*server]quota.Waiting {
	waiting := make(map[*server]quota.Waiting)
	for _, s := range d.services {
		if !slices.ContainsFunc(s.servers, func(server *server) bool { return server.limits.limited() }) {
			continue
		}
		for i, w := range s.queue {
			if limited := s.choose(w.request, now, 0).limited; len(limited) > 0 {
				server := limited[i%len(limited)]
				counts := waiting[server]
				counts[urgency.Level(w.request.Priority)]++
				waiting[server] = counts
			}
		}
	}
	return waiting
}

// SetQuotas applies what the elected gateway allocates to this one.
func (d *Dispatcher) SetQuotas(grants []quota.Grant) {
	if len(grants) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	byServer := make(map[uint32]*server, len(d.servers))
	for _, s := range d.servers {
		byServer[s.hash] = s
	}
	for _, grant := range grants {
		s := byServer[grant.Server]
		switch {
		case s == nil:
		case grant.Kind == quota.KindSlowStart:
			s.limits.slowStart.Allocate(grant, now)
		case s.limits.named.Allocate(grant, now):
			d.logLimit(s)
		}
	}
	d.placeQueued()
}

// LimitedServers returns the number of backend servers that limit their requests.
func (d *Dispatcher) LimitedServers() int {
	return d.countServers(func(s *server, _ time.Duration) bool { return s.limits.named.Limited() })
}
