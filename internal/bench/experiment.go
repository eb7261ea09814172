package bench

// Experiment is one named experiment.
type Experiment struct {
	Name string
	// Summary says in one sentence what the experiment measures.
	Summary string
	// Baselines names what the system is compared with.
	Baselines []string
	// Run executes the experiment. The same seed gives the same report, except for measured processor time.
	Run func(seed uint64) (*Report, error)
}

// Experiments returns all experiments in the order in which they run.
func Experiments() []Experiment {
	own := []Experiment{shiftExperiment(), uniformExperiment(), joinExperiment(), leaveExperiment(), rollingExperiment(),
		joinTargetExperiment(), leaveTargetExperiment(), joinLargeExperiment(), costExperiment()}
	return append(own, registered...)
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
