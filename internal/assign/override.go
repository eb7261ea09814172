package assign

import "time"

// MaxOverrides bounds the overrides of one cell.
const MaxOverrides = 1024

// Override assigns one hot key to a server independently of its partition.
type Override struct {
	Key string
	// Owner is the name of the owning server, or "".
	Owner string
	// Since is the monotonic time at which the override started. A new holder sets it to its own time.
	Since time.Duration
	// BelowThresholdSince is the monotonic time since which the load has been below the return threshold, or 0 if
	// it is not. A new holder sets it to 0.
	BelowThresholdSince time.Duration
}
