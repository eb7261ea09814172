// Package control runs the control plane of one gateway as an event loop.
//
// The goroutine of Loop.Run owns the state machines of packages cell and confsync. It passes messages, reports of
// dispatchers, results of store calls and timer ticks to them, executes their outputs, and publishes immutable snapshots
// to the request path. Other goroutines communicate with it only through channels.
package control
