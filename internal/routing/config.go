// Package routing holds the routing configuration and selects the route and service for a request. It has no
// clock, network access or goroutines.
package routing

import "time"

// Config is one version of the configuration. It is immutable.
type Config struct {
	// Version increases with each configuration.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route describes how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is true if a request may be executed more than once.
	Idempotent bool
	// Timeout is the maximum time until a client gets a response.
	Timeout time.Duration
	// Target is the latency objective.
	Target time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the attempts per request, including the first one.
	MaxAttempts int
	// Split lists the services of the route with their weights. It has at least one entry.
	Split []WeightedService
}

// WeightedService assigns a weighted fraction of a route's requests to a service.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that are either interchangeable or each own a set of keys.
type Service struct {
	Name string
	// HealthPath is the URL path of the health check.
	HealthPath string
	// MaxConns limits the total number of connections to one backend server.
	MaxConns int
	// Sharded is true if each key of the service is owned by one backend server.
	Sharded bool
	// Warmup is how long requests are slow for keys that moved to a server without a handover.
	Warmup time.Duration
	// SlowStart limits the requests to a backend server that has just started. A zero rate is no limit.
	SlowStart SlowStart
}

// SlowStart is how a backend server of a service takes requests after its start.
type SlowStart struct {
	// Period is how long a server starts slowly if its entry does not tell.
	Period time.Duration
	// Rate is the number of requests a second that a server takes from all gateways together meanwhile.
	Rate float64
}

// Limits restrict the size of requests and the time for receiving them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
