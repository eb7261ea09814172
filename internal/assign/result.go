package assign

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Result is the outcome of one round.
type Result struct {
	// Owners holds the new owner of each entry of Input.Partitions. An owner is "" only if the partition had none and
	// no server is up.
	Owners []string
	// Overrides are the overrides in force after the round, heaviest first.
	Overrides []Override
	// Moves lists every change of owner of a partition or a hot key.
	Moves []Move
	// Deferred reports whether the limits of the round postponed moves to later rounds.
	Deferred bool
	// UnbalancedSince is the monotonic time since which some server has deviated from its fair share by more than
	// Tuning.StartThreshold, or 0. Pass it to the next round in Input.UnbalancedSince.
	UnbalancedSince time.Duration
	// OversizedKeys holds the oversized keys, heaviest first. Each exceeds the fair share of a whole server, so no
	// assignment can balance the load.
	OversizedKeys []KeyLoad
	// Imbalance is the expected ratio of the maximum to the mean load of the servers that are up, each relative to its
	// capacity and without OversizedKeys. It is 0 if no server is up.
	Imbalance float64
}

// Reason states why a partition or hot key changes its owner.
type Reason string

// Reasons of a move.
const (
	// ReasonInitial is the first assignment of an owner.
	ReasonInitial Reason = "placed"
	// ReasonLeave is a move off an owner that is down, draining or unknown.
	ReasonLeave Reason = "leave"
	// ReasonBalance is a move between two servers that are up, to balance the load.
	ReasonBalance Reason = "balance"
	// ReasonReturn is the end of an override: the key returns to the owner of its partition.
	ReasonReturn Reason = "return"
)

// Move is a change of owner.
type Move struct {
	// Partition is the partition that moves, or that of Key.
	Partition keyspace.Partition
	// Key is the hot key that moves, or "" for a whole partition.
	Key string
	// From is the previous owner, or "".
	From string
	// To is the new owner.
	To     string
	Reason Reason
}
