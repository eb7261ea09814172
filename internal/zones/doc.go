// Package zones tracks the availability zones that operators drain: nothing is sent to the backend servers of such a zone
// until the operator takes the drain back. It performs no I/O and reads no clock: callers pass in monotonic time.
package zones
