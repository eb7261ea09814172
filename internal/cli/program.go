// Package cli is what the command lines of the programs have in common.
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

// Program is a program with its output.
type Program struct {
	Name string
	// Description follows the usage line of the help text.
	Description string
	Out         io.Writer
	Err         io.Writer
}

// Parse reads a command line into options, which have the tags of go-flags. If ended is true, the program ends with the
// code: help or the version was asked for, or the command line is wrong. go-flags answers requests for completion itself.
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

// ParseOnly is Parse for a program that takes options only.
func (p Program) ParseOnly(args []string, options any, showVersion *bool) (code int, ended bool) {
	rest, code, ended := p.Parse(args, options, showVersion)
	if !ended && len(rest) > 0 {
		return p.Fail(errors.Newf("unexpected argument %q; see --help", rest[0]), ExitUsage), true
	}
	return code, ended
}

// Fail prints an error and returns the code.
func (p Program) Fail(err error, code int) int {
	fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
	return code
}
