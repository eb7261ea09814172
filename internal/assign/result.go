package assign

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Result is the outcome of one round.
type Result struct {
	// Owners holds the next owner of each entry of Input.Partitions. It is "" only for a partition without a
	// previous owner while no server is up.
	Owners []string
	// Overrides are the overrides in force from now on, hottest first.
	Overrides []Override
	// Moves lists every change of owner of a partition or a hot key.
	Moves []Move
	// Deferred is true if the limits of the round left moves for later rounds.
	Deferred bool
	// UnbalancedSince is the monotonic time since which a server deviates from its share by more than
	// Tuning.StartAt, or 0. The next Input takes it.
	UnbalancedSince time.Duration
	// OversizedKeys names the keys that alone exceed the share of a whole server, hottest first. No assignment can balance
	// them.
	OversizedKeys []KeyLoad
	// Imbalance is the expected maximum of load over the mean across the servers that are up, relative to their
	// capacity and without the keys of TooHot. It is 0 if no server is up.
	Imbalance float64
}

// Reason says why a partition or a hot key changes its owner.
type Reason string

// Reasons of a move.
const (
	// ReasonInitial marks a first owner.
	ReasonInitial Reason = "placed"
	// ReasonLeave marks a previous owner that is down, draining or unknown.
	ReasonLeave Reason = "leave"
	// ReasonBalance marks a move between two servers that are up.
	ReasonBalance Reason = "balance"
	// ReasonReturn marks a key that returns to its partition.
	ReasonReturn Reason = "return"
)

// Move is one change of owner.
type Move struct {
	// Partition is the partition that moves, or the partition of Key.
	Partition keyspace.Partition
	// Key is the hot key that moves, or "" for a whole partition.
	Key string
	// From is the previous owner, or "".
	From string
	// To is the next owner.
	To     string
	Reason Reason
}
