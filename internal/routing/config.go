// Package routing holds the configuration of routes and the choice of a route and service for a request. It is
// pure: it has no clock, network or goroutine.
package routing

import "time"

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	// Version grows with each configuration.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route says how requests of one host and path prefix are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the latency objective.
	Target time.Duration
	// Priority is the rank of the route. 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the backend servers to which one request is sent.
	MaxAttempts int
	// Split holds the services of the route with their weights. There is at least one.
	Split []WeightedService
}

// WeightedService is the part of a route's requests that one service gets.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers, or of backend servers that each own a set of keys.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns bounds the connections of all callers to one backend server.
	MaxConns int
	// Sharded is true if the service is divided by key.
	Sharded bool
	// Warmup is how long keys without a handover are slow.
	Warmup time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
