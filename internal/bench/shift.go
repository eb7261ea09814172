package bench

const (
	// imbalanceZipf and imbalanceUniform are the targets of the design.
	imbalanceZipf    = 1.25
	imbalanceUniform = 1.10
)

// baseConfig is a service of the size of Filtrex's tracker.
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
			config.hottest = 610
			config.target = imbalanceZipf
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
			config.target = imbalanceUniform
			return runSystems(config), nil
		},
	}
}
