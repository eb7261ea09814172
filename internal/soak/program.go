package soak

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/cli"
)

const program = "plank-soak"

const description = "Plays random faults on gateway processes and checks the promises meanwhile. " +
	"Exit code 0: no promise was broken, 1: one was, or the run failed, 2: wrong usage."

// commandLine are the options of the program.
type commandLine struct {
	Program string        `long:"program" value-name:"FILE" default:"target/plank-entry" description:"gateway program under test"`
	Seed    uint64        `long:"seed" value-name:"N" default:"1" description:"first seed"`
	Seeds   uint64        `long:"seeds" value-name:"N" default:"1" description:"number of seeds, played one after the other"`
	Duration  time.Duration `long:"length" value-name:"TIME" default:"20s" description:"how long faults are played for each seed"`
	Version bool          `long:"version" description:"print the version and exit"`
}

// Main runs the program with arguments, without the program's name, and returns its exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	var options commandLine
	p := cli.Program{Name: program, Description: description, Out: out, Err: errOut}
	if code, ended := p.ParseOnly(arguments, &options, &options.Version); ended {
		return code
	}
	code := cli.ExitOK
	for seed := options.Seed; seed < options.Seed+options.Seeds; seed++ {
		if err := playSeed(options, seed, out); err != nil {
			code = p.Fail(err, cli.ExitFailure)
		}
	}
	return code
}

// playSeed plays one seed. The logs of the gateways are kept if it fails.
func playSeed(options commandLine, seed uint64, out io.Writer) error {
	directory, err := os.MkdirTemp("", program)
	if err != nil {
		return errors.Wrap(err, "make a directory for logs")
	}
	err = Run(Options{Program: options.Program, Directory: directory, Seed: seed, Duration: options.Duration, Output: out})
	if err != nil {
		return errors.Wrapf(err, "seed %d, logs in %s", seed, directory)
	}
	return os.RemoveAll(directory)
}
