// Package ctl is the program behind plankctl, the tool of the operators.
package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/cli"
)

// Program is plankctl with its surroundings, so that tests can replace them.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// IsTerminal is true if Stdout can show colours.
	IsTerminal bool
	Getenv     func(name string) string
	Now        func() time.Time
	// NewID draws the id of an accept.
	NewID func() string
	// Sleep returns after d, or with the error of ctx.
	Sleep func(ctx context.Context, d time.Duration) error
	HTTP  *http.Client
}

// New returns the program of this process.
func New() *Program {
	return &Program{
		Stdout:     os.Stdout,
		Stderr:     os.Stderr,
		IsTerminal: isTerminal(os.Stdout),
		Getenv:     os.Getenv,
		Now:        time.Now,
		NewID:      rand.Text,
		Sleep:      wait,
		HTTP:       &http.Client{CheckRedirect: noRedirect},
	}
}

// noRedirect keeps the token from being sent to another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Run executes one command line without the program name and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	s := newSession(ctx, p)
	parser := s.parser()
	rest, err := parser.ParseArgs(args)
	switch {
	case err == nil && s.options.Version:
		fmt.Fprintln(p.Stdout, "plankctl", version())
		return cli.ExitOK
	case err == nil && parser.Active == nil && len(rest) > 0:
		err = usage("there is no command %q; plankctl --help lists all", rest[0])
	case err == nil && parser.Active == nil:
		err = usage("name a command; plankctl --help lists all")
	}
	return s.finish(err)
}

// version returns the version of the module that the program was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// usageError is a mistake in the command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usage(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// finish prints the error and returns the exit code.
func (s *session) finish(err error) int {
	var (
		byFlags *flags.Error
		byUsage *usageError
	)
	switch {
	case err == nil:
		return cli.ExitOK
	case errors.As(err, &byFlags) && byFlags.Type == flags.ErrHelp:
		fmt.Fprintln(s.program.Stdout, byFlags.Message)
		return cli.ExitOK
	case errors.As(err, &byFlags), errors.As(err, &byUsage):
		s.printError(err)
		return cli.ExitUsage
	default:
		s.printError(err)
		return cli.ExitFailure
	}
}
