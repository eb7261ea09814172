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
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/version"
)

const program = "plank-entry"

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

// commandLine are the options of the program.
type commandLine struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file (default: the one that the platform names)"`
	Check    string `long:"check" value-name:"FILE" description:"read a settings file, name every fault and exit"`
	Print    string `long:"print-settings" value-name:"FILE" description:"print the settings in force with their units and where each comes from, and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Main runs the program and returns its exit code. platformPath is the settings file that the platform names.
func Main(args []string, platformPath string, connect func(*Settings) Adapter, out, errOut io.Writer) int {
	options := commandLine{Settings: platformPath}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		return fail(errOut, err, exitFailed)
	}
	rest, err := parser.ParseArgs(args)
	var help *flags.Error
	switch {
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		fmt.Fprintln(out, help.Message)
		return exitDone
	case err != nil:
		return fail(errOut, err, exitUsage)
	case len(rest) > 0:
		return fail(errOut, errors.Newf("unexpected argument %q; see --help", rest[0]), exitUsage)
	case options.Version:
		fmt.Fprintln(out, version.Line(program))
		return exitDone
	case options.Check != "":
		return check(options.Check, out, errOut)
	case options.Print != "":
		return printSettings(options.Print, out, errOut)
	}
	return run(options.Settings, connect, out, errOut)
}

func fail(errOut io.Writer, err error, code int) int {
	fmt.Fprintf(errOut, "%s: %v\n", program, err)
	return code
}

func check(path string, out, errOut io.Writer) int {
	if _, err := ReadSettings(path); err != nil {
		return fail(errOut, err, exitUsage)
	}
	fmt.Fprintf(out, "%s: %s has no faults\n", program, path)
	return exitDone
}

func printSettings(path string, out, errOut io.Writer) int {
	values, err := readValues(path)
	if err != nil {
		return fail(errOut, err, exitUsage)
	}
	for _, v := range values {
		fmt.Fprintf(out, "[%s] %s = %s  (%s)\n", v.field.section, v.field.key, v.text, v.source())
	}
	return exitDone
}

// run serves until a signal ends the process.
func run(path string, connect func(*Settings) Adapter, out, errOut io.Writer) int {
	settings, err := ReadSettings(path)
	if err != nil {
		return fail(errOut, err, exitUsage)
	}
	levels, err := logging.ParseLevels(settings.LogLevels)
	if err != nil {
		return fail(errOut, errors.Wrap(err, "[log] levels"), exitUsage)
	}
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * megabyte))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	metrics := observe.New()
	output := logging.NewAsyncWriter(out, metrics.Dropped)
	defer output.Close()
	node := New(settings, connect(settings), logging.New(output, levels), metrics)
	if err := node.Run(ctx, path); err != nil {
		return fail(errOut, err, exitFailed)
	}
	return exitDone
}
