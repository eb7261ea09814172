// Package assign decides which backend server owns each partition and hot key of one service within one cell. The
// cell's holder, the gateway that decides ownership, runs the policy. The loads are reported by the homes, the gateways
// that dispatch requests to the backend servers.
//
// The policy is deterministic and free of side effects: it uses no clock, network or goroutine, and takes the time as
// an argument. A partition keeps its owner unless the server leaves or the load has to be rebalanced, and the number
// of balancing moves in one round is bounded.
package assign
