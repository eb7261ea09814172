// Package snapshot holds what traffic knows about the world. The control goroutine replaces it as a whole.
package snapshot

import (
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// Snapshot is an immutable view.
type Snapshot struct {
	// Routes is nil until a configuration is known.
	Routes *routing.Table
	// Services holds the services of the configuration.
	Services map[string]*Service
	// Gateways is the number of gateways that share the limits of the services.
	Gateways int
}

// Service is a service with its backend servers.
type Service struct {
	routing.Service
	Servers []directory.RegisteredServer
	// Owners is nil for a service that is not sharded, and while its ownership is not known.
	Owners *ownership.Table
}
