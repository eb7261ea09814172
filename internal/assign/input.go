package assign

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Input is the complete input of one round of assignment.
type Input struct {
	// Now is the monotonic time of the round.
	Now time.Duration
	// Preference weighs the cost of moves against that of load imbalance. Default: config.PreferAvailability.
	Preference config.Preference
	// Servers are the backend servers of the service in the cell, in a stable order.
	Servers []Server
	// PartitionCount is the number of partitions of the service in all cells, a power of two.
	PartitionCount int
	// Partitions are the partitions of the cell, in ascending order of ID.
	Partitions []PartitionLoad
	// Overrides are the overrides in force, as returned in the previous Result.
	Overrides []Override
	// UnbalancedSince is the value of the previous Result, or 0.
	UnbalancedSince time.Duration
	// HotKeys holds the load of each key that a home reports as heavy, with or without an override. The load of any
	// other key counts as 0.
	HotKeys []KeyLoad
	// OverrideLimit bounds the overrides of this service. 0 means MaxOverrides.
	OverrideLimit int
	// LoadError is the standard error of the load of a partition. Deviations within the sampling error cause no
	// moves. 0 means that the loads are exact.
	LoadError float64
	// Capacity is the maximum work per second of a server of weight 1, in the unit of the loads. It prevents moves
	// while the service is almost idle. 0 means unknown.
	Capacity float64
}

// PartitionLoad is one partition with its previous owner and its load.
type PartitionLoad struct {
	ID keyspace.Partition
	// Owner is the name of the previous owner, or "".
	Owner string
	// Load is the smoothed work per second of those keys of the partition that have no override.
	Load float64
}

// KeyLoad is a key with its smoothed work per second.
type KeyLoad struct {
	Key  string
	Load float64
}
