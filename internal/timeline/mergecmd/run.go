// Package mergecmd is the program plank-timeline.
package mergecmd

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/timeline/merge"
	"github.com/sapphireplank/sapphireplank/internal/version"
)

// Exit codes.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

const program = "plank-timeline"

const description = "Merges the event files and logs of several processes into one time line, ordered by hybrid logical time. " +
	"Exit code 0: done, 1: failed, 2: wrong usage."

// Streams are the standard streams of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run runs the program with arguments, without the program's name, and returns its exit code.
func Run(arguments []string, streams Streams) int {
	var o options
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		return fail(streams, ExitFailed, err)
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		return usage(streams, err)
	}
	if o.Version {
		_, _ = fmt.Fprintln(streams.Out, version.Line(program))
		return ExitDone
	}
	if len(o.Positional.Files) == 0 {
		return fail(streams, ExitUsage, errors.New("no event file is named; name at least one, or - for standard input"))
	}
	filter, err := o.filter()
	if err != nil {
		return fail(streams, ExitUsage, err)
	}
	merger := merge.New(filter)
	for _, name := range o.Positional.Files {
		if err := addFile(merger, name, streams.In); err != nil {
			return fail(streams, ExitFailed, err)
		}
	}
	result := merger.Timeline()
	if err := write(&result, &o, streams.Out); err != nil {
		return fail(streams, ExitFailed, err)
	}
	if result.Malformed > 0 {
		_, _ = fmt.Fprintf(streams.Err, "plank-timeline: %d lines are not events and were left out\n", result.Malformed)
	}
	return ExitDone
}

func addFile(merger *merge.Merger, name string, in io.Reader) error {
	if name == "-" {
		return merger.Add(in, "")
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open event file")
	}
	defer file.Close()
	return errors.Wrapf(merger.Add(file, hostOf(name)), "file %q", name)
}

// hostOf returns the host whose log a file holds, if the file is named after it.
func hostOf(name string) string {
	base := filepath.Base(name)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

func write(result *merge.Timeline, o *options, out io.Writer) error {
	if o.Output == "" {
		return writeFormat(result, o.Format, out)
	}
	file, err := os.Create(o.Output)
	if err != nil {
		return errors.Wrap(err, "create output file")
	}
	err = writeFormat(result, o.Format, file)
	return errors.CombineErrors(err, file.Close())
}

func writeFormat(result *merge.Timeline, format string, out io.Writer) error {
	switch format {
	case "html":
		return result.WriteHTML(out)
	case "json":
		return result.WriteJSON(out)
	default:
		return result.WriteText(out)
	}
}

// usage shows the help text if it was asked for, or the error.
func usage(streams Streams, err error) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(streams.Out, flagsError.Message)
		return ExitDone
	}
	return fail(streams, ExitUsage, errors.Wrap(err, "see --help"))
}

func fail(streams Streams, code int, err error) int {
	_, _ = fmt.Fprintln(streams.Err, "plank-timeline:", err)
	return code
}
