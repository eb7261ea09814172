// Package quota divides the request rate that a backend server takes from all gateways together: one that it names, or that of its
// slow start. It performs no I/O and
// has no clock, locks or goroutines: callers pass in monotonic time and serialize access.
//
// A Limiter admits the requests of one gateway to one backend server. The elected gateway's Allocator divides the rate
// into permits, in proportion to the demand of each gateway. Without recent permits, a Limiter admits a share of the rate. Terms
// bound how far the sum over all gateways may exceed the rate for a short time.
package quota
