// Package ownership decides which backend server owns which keys, and when keys may be granted to another server.
//
// The package performs no I/O and reads no clock: the time is an argument, measured from the start of the machine by a
// clock that keeps running while the machine is suspended. The ownership table is recorded in the platform's store before
// any order is sent, so that the next elected gateway knows every backend server that may hold a key.
package ownership
