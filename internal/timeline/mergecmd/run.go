// Package mergecmd is the program plank-timeline.
package mergecmd

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/cli"
	"github.com/sapphireplank/sapphireplank/internal/timeline/merge"
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
	p := cli.Program{Name: program, Description: description, Out: streams.Out, Err: streams.Err}
	if _, code, ended := p.Parse(arguments, &o, &o.Version); ended {
		return code
	}
	if len(o.Positional.Files) == 0 {
		return p.Fail(errors.New("no event file is named; name at least one, or - for standard input"), cli.ExitUsage)
	}
	filter, err := o.filter()
	if err != nil {
		return p.Fail(err, cli.ExitUsage)
	}
	merger := merge.New(filter)
	for _, name := range o.Positional.Files {
		if err := addFile(merger, name, streams.In); err != nil {
			return p.Fail(err, cli.ExitFailure)
		}
	}
	result := merger.Timeline()
	if err := write(&result, &o, streams.Out); err != nil {
		return p.Fail(err, cli.ExitFailure)
	}
	if result.MalformedLines > 0 {
		_, _ = fmt.Fprintf(streams.Err, program+": %d lines are not events and were left out\n", result.MalformedLines)
	}
	return cli.ExitOK
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
