// Package ctl implements plankctl, the command-line tool for operators.
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
	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
)

// Program is plankctl together with its environment, which tests can replace.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// IsTerminal reports whether Stdout is a terminal and supports colours.
	IsTerminal bool
	Getenv     func(name string) string
	Now        func() time.Time
	// NewID returns a new idempotency key for a change.
	NewID func() string
	// Sleep sleeps for d. It returns early with the error of ctx if ctx is done.
	Sleep func(ctx context.Context, d time.Duration) error
	HTTP  *http.Client
}

// New returns the Program for the environment of this process.
func New() *Program {
	return &Program{
		Stdout:     os.Stdout,
		Stderr:     os.Stderr,
		IsTerminal: isTerminal(os.Stdout),
		Getenv:     os.Getenv,
		Now:        time.Now,
		NewID:      rand.Text,
		Sleep:      sleep,
		HTTP:       httpcheck.Client(&http.Client{CheckRedirect: rejectRedirect}),
	}
}

// rejectRedirect stops the HTTP client from following redirects, so that the token is not sent to another address.
func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func sleep(ctx context.Context, d time.Duration) error {
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

// Run executes a command line, without the program name, and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	s := newSession(ctx, p)
	parser := s.parser()
	rest, err := parser.ParseArgs(args)
	switch {
	case err == nil && s.options.Version:
		fmt.Fprintln(p.Stdout, "plankctl", version())
		return cli.ExitOK
	case err == nil && parser.Active == nil && len(rest) > 0:
		err = newUsageError("unknown command %q; plankctl --help lists all commands", rest[0])
	case err == nil && parser.Active == nil:
		err = newUsageError("no command given; plankctl --help lists all commands")
	}
	return s.report(err)
}

// version returns the version of the main module from the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// usageError is an error in the command line. It leads to exit code 2.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func newUsageError(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// report prints the error, or the help text if it was requested, and returns the exit code.
func (s *session) report(err error) int {
	var (
		flagsErr *flags.Error
		usageErr *usageError
	)
	switch {
	case err == nil:
		return cli.ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(s.program.Stdout, flagsErr.Message)
		return cli.ExitOK
	case errors.As(err, &flagsErr), errors.As(err, &usageErr):
		s.printError(err)
		return cli.ExitUsage
	default:
		s.printError(err)
		return cli.ExitFailure
	}
}
