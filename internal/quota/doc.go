// Package quota divides the request rate that a backend server grants to all gateways together. It performs no I/O and
// has no clock, locks or goroutines: callers pass in monotonic time and serialize access.
//
// A Limiter admits the requests of one gateway to one backend server. The elected gateway's Allocator divides the rate
// into permits, in proportion to the demand of each gateway. Without recent permits, a Limiter admits its equal share of
// the rate.
package quota
