// Command plank-entry is the gateway process of an entry host on the users' platform.
package main

import (
	"os"

	"github.com/sapphireplank/sapphireplank/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
