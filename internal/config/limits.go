package config

import "time"

// Limits of a configuration.
const (
	// MaxNameBytes bounds names, so that they fit into a DNS label.
	MaxNameBytes = 63
	// MaxZones bounds the availability zones of a team.
	MaxZones = 64
	// MaxServices bounds the services of a team.
	MaxServices = 256
	// MaxRules bounds the rules of a service: each request is compared with all of them.
	MaxRules = 64
	// MaxSlots bounds the slots of a backend server, in requests.
	MaxSlots = 1024
	// SpareConnections is the number of connections that a home keeps beyond the slots of a backend server:
	// one for probes and one for grants.
	SpareConnections = 2
	// MaxConnections bounds the connections of a backend server.
	MaxConnections = 65535
	// MaxTimeoutMillis is the greatest timeout that a caller can ask for, in milliseconds.
	MaxTimeoutMillis = 30000
	// DefaultMaxRequestMillis is the longest execution of a request if no answer is given, in milliseconds.
	DefaultMaxRequestMillis = 400
	// DefaultPartitions is the number of partitions of a keyed service if no answer is given.
	DefaultPartitions = 1024
	// MaxWeight bounds the ratio between the weights of two backend servers.
	MaxWeight = 1000
	// MinWeight bounds the ratio between the weights of two backend servers.
	MinWeight = 0.001
	// MaxStops bounds the announced stops, so that stops alone cannot fill the document.
	MaxStops = 1024
	// MaxStopDuration is the longest planned stop.
	MaxStopDuration = 7 * 24 * time.Hour
	// MaxCells bounds the cells of a placement, which stores them as 16-bit numbers.
	MaxCells = 65535
)
