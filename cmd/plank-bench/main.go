// Command plank-bench runs named experiments with a given random seed.
package main

import (
	"os"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/controlcost"
	"github.com/sapphireplank/sapphireplank/internal/live"
)

func main() {
	controlcost.Register()
	live.Register()
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
