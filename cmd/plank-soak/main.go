// Command plank-soak plays random faults on gateway processes and checks the promises meanwhile.
package main

import (
	"os"

	"github.com/sapphireplank/sapphireplank/internal/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
