package assign

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Input is everything that one round of assignment depends on.
type Input struct {
	// Now is the monotonic time of the round.
	Now time.Duration
	// Preference says whether moves or differences in load cost more. Default: config.PreferAvailability.
	Preference config.Preference
	// Servers are the backend servers of the service in the cell, in a stable order.
	Servers []Server
	// PartitionCount is the number of partitions of the service over all cells, a power of two.
	PartitionCount int
	// Partitions are the partitions of the cell, in ascending order of ID.
	Partitions []PartitionLoad
	// Overrides are the overrides in force, as the previous Result returned them.
	Overrides []Override
	// UnbalancedSince is the value that the previous Result returned, or 0.
	UnbalancedSince time.Duration
	// HotKeys holds the load of each key that a home reports as heavy, with or without an override. A key that is
	// missing has no load worth naming.
	HotKeys []KeyLoad
	// OverrideLimit bounds the overrides of this service. 0 means MaxOverrides.
	OverrideLimit int
	// LoadError is the standard error of the load of a partition. Deviations that it explains move nothing. 0 means
	// that the loads are exact.
	LoadError float64
	// Capacity is the work per second that a server of weight 1 executes at most, in the unit of the loads. It
	// keeps the policy from moving work while the service is almost idle. 0 means unknown.
	Capacity float64
}

// PartitionLoad is one partition with its previous owner and its load.
type PartitionLoad struct {
	ID keyspace.Partition
	// Owner is the name of the previous owner, or "".
	Owner string
	// Load is the smoothed work per second of the keys of the partition that have no override.
	Load float64
}

// KeyLoad is one key with its smoothed work per second.
type KeyLoad struct {
	Key  string
	Load float64
}
