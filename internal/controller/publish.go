package controller

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// publishPause is the least time between two snapshots: changes often come in quick succession.
const publishPause = 20 * time.Millisecond

// publish gives traffic a new snapshot if something has changed.
func (c *Controller) publish() {
	now := c.Clock()
	if !c.dirty || c.publishedAt > 0 && now < c.publishedAt+publishPause {
		return
	}
	c.dirty, c.publishedAt = false, now
	c.DataPlane.Publish(c.snapshot())
	c.ready.Store(c.config != nil)
}

// snapshot returns what traffic needs to know.
func (c *Controller) snapshot() *snapshot.Snapshot {
	view := &snapshot.Snapshot{
		Routes:   c.routes,
		Services: make(map[string]*snapshot.Service),
		Gateways: c.gateways.value(c.Clock()),
	}
	if c.config == nil {
		return view
	}
	for name, described := range c.config.Services {
		service := &snapshot.Service{Service: described}
		if described.Sharded {
			service.Owners = c.tables[name]
		}
		view.Services[name] = service
	}
	for name, service := range view.Services {
		service.Servers = c.serversOf(name)
	}
	return view
}

// serversOf returns the backend servers of a service. The list stays the same one while no server changes.
func (c *Controller) serversOf(service string) []directory.RegisteredServer {
	if c.serversListed != c.serversChanged {
		c.serversListed = c.serversChanged
		c.servers = make(map[string][]directory.RegisteredServer)
		for _, known := range c.directory.Servers() {
			c.servers[known.Service] = append(c.servers[known.Service], known)
		}
	}
	return c.servers[service]
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
	return ownership.Holder{ID: server.ID, Born: server.StartedAtMs, Addr: server.Addr}
}

// rateHalfLife is how fast the measured request rates of keys follow a change.
const rateHalfLife = 800 * time.Millisecond
