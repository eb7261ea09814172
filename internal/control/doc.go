// Package control runs the control state of one gateway.
//
// One goroutine, Loop.Run, owns the state machines of packages cell and confsync. It feeds them messages, reports
// of homes, results of store calls and ticks, carries out their outputs, and publishes immutable views to the
// traffic. Everything else talks to it over channels.
package control
