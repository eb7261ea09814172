// Command plank-soak injects random faults into gateway processes and checks the guarantees meanwhile.
package main

import (
	"os"

	"github.com/sapphireplank/sapphireplank/internal/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
