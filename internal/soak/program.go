package soak

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/cli"
)

const programName = "plank-soak"

const description = "Injects random faults into gateway processes and checks the guarantees meanwhile. " +
	"Exit code 0: no guarantee was violated, 1: one was, or the run failed, 2: wrong usage."

// commandLine holds the command-line options.
type commandLine struct {
	Program  string        `long:"program" value-name:"FILE" default:"target/plank-entry" description:"gateway program under test"`
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"first seed"`
	Seeds    uint64        `long:"seeds" value-name:"N" default:"1" description:"number of seeds, run one after another"`
	Duration time.Duration `long:"length" value-name:"TIME" default:"20s" description:"how long faults are injected for each seed"`
	Faults   string        `long:"faults" value-name:"TEXT" description:"inject only faults whose names contain this"`
	Version  bool          `long:"version" description:"print the version and exit"`
}

// Main runs the program with the given arguments, without the program name, and returns its exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	var options commandLine
	p := cli.Program{Name: programName, Description: description, Out: out, Err: errOut}
	if code, ended := p.ParseOnly(arguments, &options, &options.Version); ended {
		return code
	}
	code := cli.ExitOK
	for seed := options.Seed; seed < options.Seed+options.Seeds; seed++ {
		if err := runSeed(options, seed, out); err != nil {
			code = p.Fail(err, cli.ExitFailure)
		}
	}
	return code
}

// runSeed runs one seed. The gateway logs are kept if the run fails.
func runSeed(options commandLine, seed uint64, out io.Writer) error {
	directory, err := os.MkdirTemp("", programName)
	if err != nil {
		return errors.Wrap(err, "create the log directory")
	}
	err = Run(Options{Program: options.Program, Directory: directory, Seed: seed, Duration: options.Duration, Faults: options.Faults, Output: out})
	if err != nil {
		return errors.Wrapf(err, "seed %d, logs in %s", seed, directory)
	}
	return os.RemoveAll(directory)
}
