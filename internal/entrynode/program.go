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
	"github.com/sapphireplank/sapphireplank/internal/observe"
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
	metrics := observe.New()
	output := logging.NewAsyncWriter(out, metrics.Dropped)
	defer output.Close()
	node := New(settings, connect(settings), logging.New(output, levels), metrics)
	if err := node.Run(ctx, settingsPath); err != nil {
		fmt.Fprintf(errOut, "plank-entry: %v\n", err)
		return exitFailed
	}
	return exitDone
}
