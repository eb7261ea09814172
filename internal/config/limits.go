package config

import "time"

// Limits and defaults of a configuration.
const (
	// MaxNameBytes is the maximum length of a name, which is that of a DNS label.
	MaxNameBytes = 63
	// MaxZones is the maximum number of availability zones of a team.
	MaxZones = 64
	// MaxServices is the maximum number of services of a team.
	MaxServices = 256
	// MaxRules is the maximum number of rules of a service. Each request is matched against all of them.
	MaxRules = 64
	// MaxSlots is the maximum concurrency limit of a backend server, in requests.
	MaxSlots = 1024
	// SpareConnections is the number of connections that the home of a backend server, the gateway that dispatches to
	// it, keeps in addition to one for each slot: one for health probes and one for grants.
	SpareConnections = 2
	// MaxConnections is the maximum connection limit of a backend server.
	MaxConnections = 65535
	// MaxTimeoutMillis is the longest timeout that a client can request, in milliseconds.
	MaxTimeoutMillis = 30000
	// DefaultMaxRequestMillis is the default maximum run time of a request, in milliseconds.
	DefaultMaxRequestMillis = 400
	// DefaultPartitions is the default number of partitions of a sharded service.
	DefaultPartitions = 1024
	// MaxWeight, together with MinWeight, limits the ratio between the weights of two backend servers.
	MaxWeight = 1000
	// MinWeight, together with MaxWeight, limits the ratio between the weights of two backend servers.
	MinWeight = 0.001
	// MaxStops is the maximum number of announced stops. Stops alone cannot exhaust MaxDocumentBytes.
	MaxStops = 1024
	// MaxStopDuration is the maximum duration of a planned stop.
	MaxStopDuration = 7 * 24 * time.Hour
	// MaxCells is the maximum number of cells. Placements store cell indexes as 16-bit numbers.
	MaxCells = 65535
)
