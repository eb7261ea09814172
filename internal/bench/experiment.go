package bench

// Experiment is a benchmark that can be selected by name.
type Experiment struct {
	Name string
	// Summary describes in one sentence what the experiment measures.
	Summary string
	// Baselines are the names of the algorithms with which the system is compared.
	Baselines []string
	// Run executes the experiment. Reports of a built-in experiment with the same seed are equal, except for measured
	// times and memory.
	Run func(seed uint64) (*Report, error)
}

// Experiments returns the built-in and then the registered experiments, in the order in which they run.
func Experiments() []Experiment {
	builtin := []Experiment{shiftExperiment(), uniformExperiment(), joinExperiment(), leaveExperiment(), rollingExperiment(),
		joinTargetExperiment(), leaveTargetExperiment(), joinLargeExperiment(), costExperiment()}
	return append(builtin, registeredExperiments...)
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, bool) {
	for _, experiment := range Experiments() {
		if experiment.Name == name {
			return experiment, true
		}
	}
	return Experiment{}, false
}
