package bench

import "github.com/jessevdk/go-flags"

// optionGroup is a group of command-line options for registered experiments.
type optionGroup struct {
	name string
	data any
}

// registeredExperiments are the experiments of other packages, and registeredOptions their options. Register must add
// to them before Main runs.
var (
	registeredExperiments []Experiment
	registeredOptions     []optionGroup
)

// Register adds experiments of other packages. It must be called before Main. The parameter options is nil or points to
// a struct with go-flags tags, whose fields Main sets.
func Register(group string, options any, experiments ...Experiment) {
	registeredExperiments = append(registeredExperiments, experiments...)
	if options != nil {
		registeredOptions = append(registeredOptions, optionGroup{name: group, data: options})
	}
}

// addOptions adds the program options and those of the registered experiments to the parser.
func addOptions(parser *flags.Parser, programOptions *options) error {
	if _, err := parser.AddGroup("Options", "", programOptions); err != nil {
		return err
	}
	for _, group := range registeredOptions {
		if _, err := parser.AddGroup(group.name, "", group.data); err != nil {
			return err
		}
	}
	return nil
}

// FitLine fits a straight line to points by least squares in y.
func FitLine(points []Point) Fit { return fitLine(points) }
