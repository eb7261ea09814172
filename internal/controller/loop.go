package controller

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// due does what time has made necessary.
func (c *Controller) due(ctx context.Context) {
	now := boottime.Now()
	if c.directory.Expire(c.Clock()) {
		c.dirty = true
	}
	if c.stopping || !c.listed {
		return
	}
	c.registerStep(ctx, now)
	before := c.election.State()
	if call, due := c.election.Step(now); due {
		c.electionCall(ctx, call, now)
	}
	if before == election.StateLeading && c.election.State() != election.StateLeading {
		c.lostElection()
	}
	if c.election.State() == election.StateLeading {
		c.assign(ctx, now)
	}
}

// lostElection ends what only the elected gateway does.
func (c *Controller) lostElection() {
	c.Log.WithField("term", c.election.Term()).Info("no longer the elected gateway")
	c.stopAssigning()
}

// publish gives traffic a new snapshot if something has changed.
func (c *Controller) publish() {
	if !c.dirty {
		return
	}
	c.dirty = false
	c.Publish(c.snapshot())
	c.ready.Store(c.config != nil && c.listed)
}

// snapshot returns what traffic needs to know.
func (c *Controller) snapshot() *snapshot.Snapshot {
	view := &snapshot.Snapshot{
		Routes:   c.routes,
		Services: make(map[string]*snapshot.Service),
		Gateways: c.gatewayCount(),
	}
	if c.config == nil {
		return view
	}
	for name, described := range c.config.Services {
		service := &snapshot.Service{Service: described}
		if described.Sharded {
			service.Owners = c.tables[name].table
		}
		view.Services[name] = service
	}
	for _, known := range c.directory.Servers() {
		if service := view.Services[known.Service]; service != nil {
			service.Servers = append(service.Servers, known)
		}
	}
	return view
}

// gatewayCount returns the number of gateways that share the limits.
func (c *Controller) gatewayCount() int {
	if !c.listed {
		return unknownGateways
	}
	return max(1, len(c.gateways))
}

// meter returns the request rates of the keys of a service.
func (c *Controller) meter(service string) *ownership.RateMeter {
	meter := c.meters[service]
	if meter == nil {
		meter = ownership.NewRateMeter(c.Ownership.Keys, rateHalfLife)
		c.meters[service] = meter
	}
	return meter
}

// holder returns a backend server as the holder of keys.
func holder(server directory.Server) ownership.Holder {
	return ownership.Holder{ID: server.ID, Born: server.Born, Addr: server.Addr}
}

// rateHalfLife is how fast the measured request rates of keys follow a change.
const rateHalfLife = 1200 * time.Millisecond
