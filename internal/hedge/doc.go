// Package hedge decides when a request that may be repeated is sent a second time although its first copy has not failed (a
// hedged request): once it takes longer than nearly all recent requests of its service did, and only within a share of the
// requests that operators set. It performs no I/O and reads no clock.
package hedge
