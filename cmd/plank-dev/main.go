// Command plank-dev runs both example deployments in one process and checks all guarantees.
package main

import (
	"os"

	"github.com/sapphireplank/sapphireplank/internal/dev"
)

func main() {
	os.Exit(dev.Main(os.Args[1:], os.Stdout, os.Stderr))
}
