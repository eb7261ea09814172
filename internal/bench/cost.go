package bench

import (
	"fmt"
	"runtime"
)

// timingRepetitions is the number of timings of which the minimum counts, because other processes only add time.
const timingRepetitions = 3

// costSeries holds the measured values of one cost at several sizes.
type costSeries struct {
	name   string
	xLabel string
	yUnit  string
	points []Point
}

func costExperiment() Experiment {
	return Experiment{
		Name:      "cost",
		Summary:   "Slopes of time, bytes and memory of the control packages over their sizes.",
		Baselines: nil,
		Run:       runCost,
	}
}

func runCost(seed uint64) (*Report, error) {
	documents, err := documentSeries()
	if err != nil {
		return nil, err
	}
	allSeries := []costSeries{
		assignTimeByPartitions(seed),
		assignTimeByServers(seed),
		assignMemory(seed),
		trackerMemory(),
		sketchMemory(),
		snapshotMemory(),
		overrideMemory(),
		placementTime(),
	}
	allSeries = append(allSeries, documents...)
	report := &Report{
		Notes: []string{
			fmt.Sprintf("Time: processor time of the process, least of %d timings of at least 20 ms each. Memory: growth of the heap after garbage collection.", timingRepetitions),
			"Slope, intercept and r2 are of the line through the points by least squares.",
		},
	}
	measurement := &Measurement{System: "plank"}
	for _, series := range allSeries {
		measurement.Figures = append(measurement.Figures, series.figures()...)
		chart := &Chart{Name: series.name, XLabel: series.xLabel, YLabel: series.yUnit}
		chart.Lines = []Line{{Name: series.name, Points: series.points}}
		report.Charts = append(report.Charts, chart)
	}
	report.Measurements = []*Measurement{measurement}
	return report, nil
}

// figures returns the measured points and the parameters of the fitted line.
func (s *costSeries) figures() []Figure {
	var figures []Figure
	for _, point := range s.points {
		name := fmt.Sprintf("%s at %s %s", s.name, formatNumber(point.X), s.xLabel)
		figures = append(figures, Figure{Name: name, Unit: s.yUnit, Value: point.Y})
	}
	fit := fitLine(s.points)
	return append(figures,
		Figure{Name: s.name + ": slope", Unit: s.yUnit + "/" + s.xLabel, Value: fit.Slope},
		Figure{Name: s.name + ": intercept", Unit: s.yUnit, Value: fit.Intercept},
		Figure{Name: s.name + ": r2", Unit: "1", Value: fit.R2},
	)
}

// heapGrowth returns the heap memory, in bytes, that the result of build retains after garbage collection.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
