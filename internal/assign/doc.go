// Package assign decides which backend server owns each partition and hot key of one service within one cell.
//
// The policy is pure: it has no clock, network or goroutine, and takes time as an argument. It keeps the previous
// owner of a partition unless its server leaves or balance requires a move, and it bounds the moves of a round.
package assign
