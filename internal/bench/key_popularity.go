package bench

const (
	// zipfImbalanceTarget and uniformImbalanceTarget are the greatest imbalances that the design allows.
	zipfImbalanceTarget    = 1.25
	uniformImbalanceTarget = 1.10
)

// baseConfig returns a model of the size of the service tracker in examples/moravia.ini.
func baseConfig(seed uint64) modelConfig {
	return modelConfig{
		seed:        seed,
		servers:     16,
		keys:        1_000_000,
		partitions:  1024,
		seconds:     600,
		rate:        2000,
		slots:       3,
		utilization: 0.4,
	}
}

func shiftExperiment() Experiment {
	return Experiment{
		Name:      "shift",
		Summary:   "Zipf 1.1 keys whose 610 hottest change every minute, for 10 minutes.",
		Baselines: []string{baselineRendezvous, baselineRing},
		Run: func(seed uint64) (*Report, error) {
			config := baseConfig(seed)
			config.exponent = 1.1
			config.shiftSeconds = 60
			config.shiftedKeys = 610
			config.imbalanceTarget = zipfImbalanceTarget
			return runSystems(config), nil
		},
	}
}

func uniformExperiment() Experiment {
	return Experiment{
		Name:      "uniform",
		Summary:   "Keys of equal popularity on unchanged servers.",
		Baselines: []string{baselineRendezvous, baselineRing},
		Run: func(seed uint64) (*Report, error) {
			config := baseConfig(seed)
			config.seconds = 180
			config.imbalanceTarget = uniformImbalanceTarget
			return runSystems(config), nil
		},
	}
}
