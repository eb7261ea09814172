// Command plank-timeline merges the event files of several processes into one timeline.
package main

import (
	"os"

	"github.com/sapphireplank/sapphireplank/internal/timeline/mergecmd"
)

func main() {
	os.Exit(mergecmd.Run(os.Args[1:], mergecmd.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
