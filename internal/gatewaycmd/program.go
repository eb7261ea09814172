package gatewaycmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/cli"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/node"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
	"github.com/sapphireplank/sapphireplank/internal/version"
)

const program = "plank-gateway"

// eventFileMode lets all users read event files and only the owner write them.
const eventFileMode = 0o644

// programOptions holds the command-line options that are not gateway settings.
type programOptions struct {
	Settings string `long:"settings" description:"INI file with the settings below; the command line overrides it (default: none)"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Main runs plank-gateway and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	p := cli.Program{Name: program, Out: out, Err: errOut}
	settings, done, err := parseArgs(args, out)
	if done {
		return cli.ExitOK
	}
	if err != nil {
		return p.Fail(err, cli.ExitUsage)
	}
	if err := run(settings, out, errOut); err != nil {
		return p.Fail(err, cli.ExitFailure)
	}
	return cli.ExitOK
}

// parseArgs parses the command line and the settings file that it names. done is true if the arguments only asked for
// help or the version.
func parseArgs(args []string, out io.Writer) (settings *Settings, done bool, err error) {
	var opts programOptions
	settings = &Settings{}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	for _, group := range []struct {
		name string
		data any
	}{{"Program", &opts}, {"gateway", settings}} {
		if _, err := parser.AddGroup(group.name, "", group.data); err != nil {
			return nil, false, err
		}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			fmt.Fprintln(out, err)
			return nil, true, nil
		}
		return nil, false, err
	}
	if opts.Version {
		fmt.Fprintln(out, version.Line(program))
		return nil, true, nil
	}
	if opts.Settings != "" {
		if err := readSettingsFile(parser, opts.Settings, args); err != nil {
			return nil, false, err
		}
	}
	return settings, false, settings.Validate()
}

// readSettingsFile reads the settings file and then parses the command line again, so that the command line takes
// precedence.
func readSettingsFile(parser *flags.Parser, name string, args []string) error {
	if err := flags.NewIniParser(parser).ParseFile(name); err != nil {
		return errors.Wrap(err, "read settings file")
	}
	_, err := parser.ParseArgs(args)
	return err
}

func run(s *Settings, out, errOut io.Writer) error {
	options, closeEvents, err := nodeOptions(s, out, errOut)
	if err != nil {
		return err
	}
	defer closeEvents()
	signals, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := node.Start(options)
	if err != nil {
		return err
	}
	<-signals.Done()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.StopSeconds)*time.Second)
	defer cancel()
	return n.Shutdown(ctx)
}

func nodeOptions(s *Settings, out, errOut io.Writer) (node.Options, func(), error) {
	levels, err := logging.ParseLevels(s.LogLevels)
	if err != nil {
		return node.Options{}, nil, err
	}
	tokens, err := readTokens(s.TokenFile)
	if err != nil {
		return node.Options{}, nil, err
	}
	events, closeFile, err := openEventLog(s.EventFile, out)
	if err != nil {
		return node.Options{}, nil, err
	}
	eventLog := timeline.NewLog(timeline.LogOptions{Host: s.Host, Output: events})
	seeds, err := s.seedPeers()
	if err != nil {
		return node.Options{}, nil, err
	}
	closeEvents := func() {
		// The process is about to exit, so events that can no longer be written are lost.
		_ = eventLog.Close()
		closeFile()
	}
	return node.Options{
		Host:          s.Host,
		Team:          s.Team,
		PeerAddress:   s.PeerAddress,
		CallerAddress: s.CallerAddress,
		AdminAddress:  s.AdminAddress,
		Seeds:         seeds,
		Store:         store.NewClient(s.Store, &http.Client{}),
		Events:        eventLog,
		Logs:          logging.New(errOut, levels),
		Tokens:        tokens,
	}, closeEvents, nil
}

func readTokens(name string) (*admin.Tokens, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "token-file")
	}
	defer file.Close()
	return admin.ReadTokens(file)
}

func openEventLog(name string, out io.Writer) (io.Writer, func(), error) {
	switch name {
	case "":
		return nil, func() {}, nil
	case "-":
		return out, func() {}, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, eventFileMode)
	if err != nil {
		return nil, nil, errors.Wrap(err, "event-file")
	}
	return file, func() { _ = file.Close() }, nil
}
