package entrynode

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sapphireplank/sapphireplank/internal/logging"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const (
	// memoryShare is the share of the host's memory at which the collector works harder.
	memoryShare = 0.7
	// collectorPercent is the growth of the heap between two collections.
	collectorPercent = 60
	megabyte         = 1 << 20
)

// Main runs a node on a platform and returns the exit code.
func Main(settingsPath string, connect func(*Settings) Adapter, out, errOut io.Writer) int {
	settings, err := ReadSettings(settingsPath)
	if err != nil {
		fmt.Fprintf(errOut, "plank-entry: %v\n", err)
		return exitUsage
	}
	levels, err := logging.ParseLevels(settings.LogLevels)
	if err != nil {
		fmt.Fprintf(errOut, "plank-entry: [log] levels: %v\n", err)
		return exitUsage
	}
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * megabyte))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	node := New(settings, connect(settings), logging.New(out, levels))
	if err := node.Run(ctx); err != nil {
		fmt.Fprintf(errOut, "plank-entry: %v\n", err)
		return exitFailed
	}
	return exitDone
}
