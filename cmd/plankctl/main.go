// Command plankctl is the command-line tool for the operators of a team.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sapphireplank/sapphireplank/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.New().Run(ctx, os.Args[1:]))
}
