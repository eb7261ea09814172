// Package controlcost implements experiments that measure the control traffic and the CPU time of the deterministic
// state machines in packages cell and confsync, on a simulated network in simulated time. All results except CPU time
// depend only on the seed.
package controlcost

import "github.com/sapphireplank/sapphireplank/internal/bench"

// Register adds the control-cost experiments to package bench.
func Register() {
	bench.Register("Control cost", nil, controlExperiment(), configFleetExperiment())
}
