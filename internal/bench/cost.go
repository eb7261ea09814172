package bench

func costExperiment() Experiment {
	return Experiment{Name: "cost", Summary: "todo", Run: func(seed uint64) (*Report, error) { return &Report{}, nil }}
}
