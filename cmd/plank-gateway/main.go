// Command plank-gateway is the gateway process of an entry host.
package main

import (
	"os"

	"github.com/sapphireplank/sapphireplank/internal/gatewaycmd"
)

func main() {
	os.Exit(gatewaycmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
