// Package confsync decides which revision of a team's configuration is in force on a gateway. It is a pure state
// machine: it has no clock, network or goroutine, and takes monotonic time and random numbers as arguments.
//
// A gateway holds the document with the greatest revision that it knows, and puts it in force once another gateway
// of its cell is known to hold it too. So the loss of one gateway together with the store loses no revision that was
// in force anywhere in the cell. docs/notes/configuration.md gives the reasons.
package confsync

import "time"

// Times of the state machine.
const (
	// ExchangeInterval is the time between two rounds of a holder with holders of other cells.
	ExchangeInterval = 500 * time.Millisecond
	// ExchangePeers is the number of cells that a round asks.
	ExchangePeers = 2
	// PullTimeout is the time after which a pull without an answer may be repeated.
	PullTimeout = 500 * time.Millisecond
	// ConfirmWait bounds the wait for another gateway of the cell to hold a new document. A gateway that is alone
	// puts it in force after this time.
	ConfirmWait = time.Second
	// StartWait bounds the wait of a fresh gateway for the answers of all peers and of the store.
	StartWait = 2 * time.Second
	// AskInterval is the time between two questions of a fresh gateway to a silent peer.
	AskInterval = 500 * time.Millisecond
	// ReadInterval is the time between two reads of a watcher. Watches do not show a value that was restored to
	// an older version.
	ReadInterval = 5 * time.Second
	// RetryInterval is the time after which a call that the store did not answer is repeated.
	RetryInterval = time.Second
	// LeaderlessReadInterval is the mean time between two reads of a gateway whose cell has no holder. 11,000
	// such gateways make 367 reads a second; the store handles about 2,000.
	LeaderlessReadInterval = 30 * time.Second
	// ConfirmSpread is the range of the random delay before a fresh gateway confirms a value of the store.
	ConfirmSpread = time.Second
)

// historyLength is the number of earlier documents that serve as bases of patches.
const historyLength = 8
