package control

import "time"

const (
	// tickInterval is the interval between ticks of the state machines. It must not exceed cell.TickInterval.
	tickInterval = 25 * time.Millisecond
	// queueLength is the capacity of the queue of received control messages, and of the queue of posted functions.
	queueLength = 1024
	// storeTimeout is the timeout of a store call, except for watches.
	storeTimeout = time.Second
	// maxStoreCalls limits the concurrent store calls, not counting watches.
	maxStoreCalls = 8
)
