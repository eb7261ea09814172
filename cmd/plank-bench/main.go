// Command plank-bench runs named experiments with a seed.
package main

import (
	"os"

	"github.com/sapphireplank/sapphireplank/internal/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
