// Package cli provides the command-line handling that the programs share.
package cli

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/version"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Program describes a program and its output streams.
type Program struct {
	Name string
	// Description is printed after the usage line of the help text.
	Description string
	Out         io.Writer
	Err         io.Writer
}

// Parse parses a command line into options, a struct with go-flags tags. If ended is true, the program must exit with
// the code: help or the version was requested, or the command line is invalid. go-flags itself answers shell
// completion requests.
func (p Program) Parse(args []string, options any, showVersion *bool) (rest []string, code int, ended bool) {
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = p.Description
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return nil, p.Fail(err, ExitFailure), true
	}
	rest, err := parser.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		fmt.Fprintln(p.Out, err)
		return nil, ExitOK, true
	case err != nil:
		return nil, p.Fail(errors.Wrap(err, "see --help"), ExitUsage), true
	case *showVersion:
		fmt.Fprintln(p.Out, version.Line(p.Name))
		return nil, ExitOK, true
	}
	return rest, ExitOK, false
}

// ParseOnly is Parse for a program without positional arguments.
func (p Program) ParseOnly(args []string, options any, showVersion *bool) (code int, ended bool) {
	rest, code, ended := p.Parse(args, options, showVersion)
	if !ended && len(rest) > 0 {
		return p.Fail(errors.Newf("unexpected argument %q; see --help", rest[0]), ExitUsage), true
	}
	return code, ended
}

// Fail prints an error and returns code.
func (p Program) Fail(err error, code int) int {
	fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
	return code
}
