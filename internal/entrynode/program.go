package entrynode

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/cli"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/observe"
)

const program = "plank-entry"

const (
	// memoryLimitRatio is the fraction of the memory setting used as the soft memory limit, above which the garbage
	// collector runs more often.
	memoryLimitRatio = 0.7
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 60
	kibibyte  = 1 << 10
	mebibyte  = 1 << 20
)

// commandLine holds the command-line options.
type commandLine struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file (default: the one that the platform names)"`
	Check    string `long:"check" value-name:"FILE" description:"read a settings file, name every fault and exit"`
	Print    string `long:"print-settings" value-name:"FILE" description:"print the settings in force with their units and where each comes from, and exit"`

	CheckConfig string `long:"check-config" value-name:"FILE" description:"check a configuration before it is sent, and exit"`
	InForce     string `long:"in-force" value-name:"FILE" description:"with --check-config: the configuration to compare with"`
	JSON        bool   `long:"json" description:"with --check-config: print the findings as JSON"`

	Version bool `long:"version" description:"print the version and exit"`
}

// Main runs the program and returns its exit code. platformPath is the default settings file, given by the platform.
func Main(args []string, platformPath string, newAdapter func(*Settings) Adapter, out, errOut io.Writer) int {
	options := commandLine{Settings: platformPath}
	p := cli.Program{Name: program, Out: out, Err: errOut}
	code, ended := p.ParseOnly(args, &options, &options.Version)
	switch {
	case ended:
		return code
	case options.Check != "":
		return checkSettings(p, options.Check)
	case options.Print != "":
		return printSettings(p, options.Print)
	}
	if options.CheckConfig != "" {
		return checkConfig(p, options, newAdapter(&Settings{}).Entries)
	}
	return run(p, options.Settings, newAdapter)
}

func checkSettings(p cli.Program, path string) int {
	if _, err := ReadSettings(path); err != nil {
		return p.Fail(err, cli.ExitUsage)
	}
	fmt.Fprintf(p.Out, "%s: %s has no faults\n", program, path)
	return cli.ExitOK
}

func printSettings(p cli.Program, path string) int {
	values, err := readValues(path)
	if err != nil {
		return p.Fail(err, cli.ExitUsage)
	}
	for _, v := range values {
		fmt.Fprintf(p.Out, "[%s] %s = %s  (%s)\n", v.field.section, v.field.key, v.text, v.source())
	}
	return cli.ExitOK
}

// run serves until SIGTERM or an interrupt.
func run(p cli.Program, path string, newAdapter func(*Settings) Adapter) int {
	settings, err := ReadSettings(path)
	if err != nil {
		return p.Fail(err, cli.ExitUsage)
	}
	levels, err := logging.ParseLevels(settings.LogLevels)
	if err != nil {
		return p.Fail(errors.Wrap(err, "[log] levels"), cli.ExitUsage)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryMB) * mebibyte))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	metrics := observe.New()
	output := logging.NewAsyncWriter(p.Out, metrics.CountDroppedLines)
	defer output.Close()
	node := New(settings, newAdapter(settings), logging.New(output, levels), metrics)
	if err := node.Run(ctx, path); err != nil {
		return p.Fail(err, cli.ExitFailure)
	}
	return cli.ExitOK
}
