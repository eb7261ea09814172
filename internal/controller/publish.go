package controller

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// minPublishInterval is the minimum time between two snapshots, because changes often come in quick succession.
const minPublishInterval = 20 * time.Millisecond

// publish publishes a new snapshot if the state has changed.
func (c *Controller) publish() {
	now := c.Clock()
	if !c.dirty || c.publishedAt > 0 && now < c.publishedAt+minPublishInterval {
		return
	}
	c.dirty, c.publishedAt = false, now
	c.DataPlane.Publish(c.buildSnapshot())
	c.ready.Store(c.config != nil)
}

// buildSnapshot returns a snapshot of the current state.
func (c *Controller) buildSnapshot() *snapshot.Snapshot {
	view := &snapshot.Snapshot{
		Routes:   c.routes,
		Services: make(map[string]*snapshot.Service),
		Gateways: c.gateways.Value(c.Clock()),

		Zones:        c.zones.States(),
		ZonesVersion: c.zones.Version(),
	}
	if c.config == nil {
		return view
	}
	for name, config := range c.config.Services {
		service := &snapshot.Service{Service: config}
		if config.Sharded {
			service.Owners = c.tables[name]
		}
		view.Services[name] = service
	}
	for name, service := range view.Services {
		service.Servers = c.serviceServers(name)
	}
	return view
}

// serviceServers returns the backend servers of a service. It returns the same slice until a server changes.
func (c *Controller) serviceServers(service string) []directory.RegisteredServer {
	if c.serversCacheVersion != c.serversVersion {
		c.serversCacheVersion = c.serversVersion
		c.servers = make(map[string][]directory.RegisteredServer)
		for _, server := range c.directory.Servers() {
			c.servers[server.Service] = append(c.servers[server.Service], server)
		}
	}
	return c.servers[service]
}

// rateMeter returns the meter of the request rates of the keys of a service, which it creates if necessary.
func (c *Controller) rateMeter(service string) *ownership.KeyRates {
	meter := c.meters[service]
	if meter == nil {
		meter = ownership.NewKeyRates(c.Ownership.Keys)
		c.meters[service] = meter
	}
	return meter
}

// holderOf returns the incarnation of a backend server as a holder of keys.
func holderOf(server directory.Server) ownership.Holder {
	return ownership.Holder{ID: server.ID, StartedAtMs: server.StartedAtMs, Addr: server.Addr}
}
