// Package snapshot defines the immutable view of the control state that request handling uses. The control goroutine
// replaces the snapshot as a whole.
package snapshot

import (
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/zones"
)

// Snapshot is one immutable view of routes, services and backend servers.
type Snapshot struct {
	// Routes is nil until a configuration is known.
	Routes *routing.Table
	// Services maps the name of each configured service to the service.
	Services map[string]*Service
	// Gateways is the number of gateways among which the limits of the services are divided.
	Gateways int
	// Zones are the states of the availability zones that are or were drained. ZonesVersion rises with each change.
	Zones        zones.States
	ZonesVersion int
}

// Service is a service with its backend servers.
type Service struct {
	routing.Service
	Servers []directory.RegisteredServer
	// Owners is the ownership table. It is nil for a service that is not sharded, and until the table is known.
	Owners *ownership.Table
}
