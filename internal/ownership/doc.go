// Package ownership decides which backend server owns which keys, and when a key may be granted to another one.
//
// It is pure: time is the time since the start of the machine, counted through suspensions, and is an argument.
// The table of owners is recorded in the platform's store before any order is sent, so that whoever is elected
// next knows every backend server that may hold a key.
package ownership
