package live

import (
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/bench"
)

// experiment describes a bench.Experiment as a list of scenarios.
type experiment struct {
	name    string
	summary string
	// scenarios returns the scenarios in column order: the measured system first, then its baselines.
	scenarios func() []*scenario
	notes     []string
}

func (e experiment) build(o *Options) bench.Experiment {
	var baselines []string
	for _, s := range e.scenarios()[1:] {
		baselines = append(baselines, s.name)
	}
	return bench.Experiment{
		Name:      e.name,
		Summary:   e.summary,
		Baselines: baselines,
		Run:       func(seed uint64) (*bench.Report, error) { return e.run(o, seed) },
	}
}

func (e experiment) run(o *Options, seed uint64) (*bench.Report, error) {
	report := &bench.Report{Settings: settings(o), Notes: e.notes}
	for _, s := range e.scenarios() {
		r, err := s.run(o, seed)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
		report.Measurements = append(report.Measurements, r.measurement())
		for _, note := range r.reportNotes() {
			report.Notes = append(report.Notes, s.name+": "+note)
		}
	}
	report.Settings = append(report.Settings, bench.Setting{Name: "load average at the end", Value: bench.LoadAverage()})
	return report, nil
}

func settings(o *Options) []bench.Setting {
	return []bench.Setting{
		{Name: "deployment", Value: o.Deployment},
		{Name: "duration of a run", Value: o.Duration.String()},
		{Name: "scale of the load", Value: fmt.Sprint(o.Scale)},
		{Name: "load average at the start", Value: bench.LoadAverage()},
	}
}
