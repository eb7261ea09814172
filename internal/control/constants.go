package control

import "time"

const (
	// tickInterval is the longest time between two ticks of the state machines.
	tickInterval = 25 * time.Millisecond
	// inboxLength bounds the control messages that wait for the loop.
	inboxLength = 1024
	// storeTimeout bounds one call of the store.
	storeTimeout = time.Second
	// maxStoreCalls bounds the calls of the store in progress, without watches.
	maxStoreCalls = 8
)
