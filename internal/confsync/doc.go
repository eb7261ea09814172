// Package confsync replicates a team's configuration between gateways and decides which revision is in force on each
// of them. It is a deterministic state machine without clock, network or goroutines: monotonic time and random numbers
// are passed in.
//
// A gateway holds the document with the greatest revision that it knows, and puts it in force once another gateway of
// its cell is known to hold a copy. The loss of one gateway together with the store then loses no revision that was in
// force anywhere in the cell. If no copy is reported within ReplicationTimeout, the gateway puts the document in force
// without this guarantee. docs/notes/configuration.md explains the design.
package confsync

import "time"

// Timing and fan-out of the state machine.
const (
	// ExchangeInterval is the time between two rounds in which a holder exchanges states with holders of other cells.
	ExchangeInterval = 500 * time.Millisecond
	// ExchangeFanout is the number of cells that are queried per round.
	ExchangeFanout = 2
	// PullTimeout is the time after which an unanswered pull may be repeated.
	PullTimeout = 500 * time.Millisecond
	// ReplicationTimeout bounds the wait for another gateway of the cell to report that it holds a new document. Without
	// such a report, the gateway puts the document in force after this time.
	ReplicationTimeout = time.Second
	// StartTimeout bounds the time that a starting gateway waits for responses from all peers and the store.
	StartTimeout = 2 * time.Second
	// StartQueryInterval is the time after which a starting gateway repeats its query to a peer that has not responded.
	StartQueryInterval = 500 * time.Millisecond
	// StoreReadInterval is the time between two regular reads of a watcher. The reads are needed because a watch does
	// not report a value that was restored to an older version.
	StoreReadInterval = 5 * time.Second
	// StoreRetryInterval is the time after which a failed call to the store is repeated.
	StoreRetryInterval = time.Second
	// HolderlessReadInterval is the mean time between two reads of the store by a gateway whose cell has no holder.
	// 11,000 such gateways issue 367 reads per second; the store handles about 2,000.
	HolderlessReadInterval = 30 * time.Second
	// MaxConfirmDelay is the upper bound of the random delay before a starting gateway confirms a value of the store.
	MaxConfirmDelay = time.Second
)

// maxHistory is the number of earlier documents that are kept as bases for patches.
const maxHistory = 8
