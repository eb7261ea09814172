// Package controlcost has experiments that measure the control traffic and the processor time of the pure packages cell
// and confsync, in a simulated network on simulated time. A run depends on its seed only, except for processor time.
package controlcost

import "github.com/sapphireplank/sapphireplank/internal/bench"

// Register adds the experiments of this package to package bench.
func Register() {
	bench.Register("Control cost", nil, controlExperiment(), configFleetExperiment())
}
