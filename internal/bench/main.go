package bench

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/cli"
)

type options struct {
	Experiments []string `short:"e" long:"experiment" value-name:"NAME" description:"Run this experiment; may be given several times (default: all)"`
	Seed        uint64   `short:"s" long:"seed" value-name:"NUMBER" default:"1" description:"Seed of all random choices"`
	Out         string   `short:"o" long:"out" value-name:"DIRECTORY" description:"Write NAME.txt, NAME.csv and an SVG and a CSV file for each chart to this directory (default: print only)"`
	List        bool     `short:"l" long:"list" description:"List the experiments and exit"`
	Version     bool     `long:"version" description:"Print the version and exit"`
}

const program = "plank-bench"

const longDescription = `Runs named experiments with a seed and prints a table for each. Units are in the tables. ` +
	`Exit codes: 0 done, 1 an experiment failed, 2 wrong usage.`

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	p := cli.Program{Name: program, Out: stdout, Err: stderr}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if err := addOptions(parser, &opts); err != nil {
		return p.Fail(err, cli.ExitFailure)
	}
	positional, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Fprintln(stdout, err)
		return cli.ExitOK
	}
	if err == nil && len(positional) > 0 {
		err = fmt.Errorf("unexpected argument %q; name an experiment with --experiment", positional[0])
	}
	if err != nil {
		return p.Fail(err, cli.ExitUsage)
	}
	return opts.run(p)
}

func (o *options) run(p cli.Program) int {
	if o.Version {
		build := CurrentBuild()
		fmt.Fprintf(p.Out, program+" %s (%s)\n", build.Version, build)
		return cli.ExitOK
	}
	if o.List {
		for _, experiment := range Experiments() {
			fmt.Fprintf(p.Out, "%-10s %s\n", experiment.Name, experiment.Summary)
		}
		return cli.ExitOK
	}
	selected, err := o.selectedExperiments()
	if err != nil {
		return p.Fail(err, cli.ExitUsage)
	}
	return o.runExperiments(selected, p.Out, p.Err)
}

// runExperiments runs experiments in order and stops at the first failure.
func (o *options) runExperiments(experiments []Experiment, stdout, stderr io.Writer) int {
	for _, experiment := range experiments {
		if err := o.runExperiment(experiment, stdout); err != nil {
			fmt.Fprintf(stderr, "plank-bench: experiment %q failed: %v\n", experiment.Name, err)
			return cli.ExitFailure
		}
	}
	return cli.ExitOK
}

// selectedExperiments returns the experiments that the options name, or all if they name none.
func (o *options) selectedExperiments() ([]Experiment, error) {
	if len(o.Experiments) == 0 {
		return Experiments(), nil
	}
	var selected []Experiment
	for _, name := range o.Experiments {
		experiment, ok := Find(name)
		if !ok {
			return nil, fmt.Errorf("experiment %q does not exist; --list names all", name)
		}
		selected = append(selected, experiment)
	}
	return selected, nil
}

func (o *options) runExperiment(experiment Experiment, stdout io.Writer) error {
	report, err := experiment.Run(o.Seed)
	if err != nil {
		return err
	}
	report.Experiment = experiment.Name
	report.Seed = o.Seed
	if err := report.WriteTable(stdout, CurrentBuild()); err != nil {
		return err
	}
	fmt.Fprintln(stdout)
	if o.Out == "" {
		return nil
	}
	return report.save(o.Out)
}
