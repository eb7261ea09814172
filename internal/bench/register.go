package bench

import "github.com/jessevdk/go-flags"

// optionGroup is a set of command-line options of registered experiments.
type optionGroup struct {
	name string
	data any
}

// registered are the experiments of other packages, and registeredOptions their options. Register fills them before
// Main runs.
var (
	registered        []Experiment
	registeredOptions []optionGroup
)

// Register adds experiments of other packages to those of this package. It must be called before Main. Options points
// to a struct with tags of go-flags whose fields Main sets, or is nil.
func Register(group string, options any, experiments ...Experiment) {
	registered = append(registered, experiments...)
	if options != nil {
		registeredOptions = append(registeredOptions, optionGroup{name: group, data: options})
	}
}

// addOptions adds the options of the program and of the registered experiments to the parser.
func addOptions(parser *flags.Parser, own *options) error {
	if _, err := parser.AddGroup("Options", "", own); err != nil {
		return err
	}
	for _, group := range registeredOptions {
		if _, err := parser.AddGroup(group.name, "", group.data); err != nil {
			return err
		}
	}
	return nil
}

// FitLine returns the line through points with the least sum of squared distances in y.
func FitLine(points []Point) Fit { return fitLine(points) }
