package bench

import (
	"fmt"
	"runtime"
)

const (
	// costRepeats is the number of timings of which the least counts, because other processes only add time.
	costRepeats = 3
)

// slope is one measured dependence of a cost on a size.
type slope struct {
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
	documents, err := documentSlopes()
	if err != nil {
		return nil, err
	}
	slopes := []slope{
		assignTimeByPartitions(seed),
		assignTimeByServers(seed),
		assignMemory(seed),
		trackerMemory(),
		sketchMemory(),
		snapshotMemory(),
		overrideMemory(),
		placementTime(),
	}
	slopes = append(slopes, documents...)
	report := &Report{
		Notes: []string{
			fmt.Sprintf("Time: processor time of the process, least of %d timings of at least 20 ms each. Memory: growth of the heap after garbage collection.", costRepeats),
			"Slope, intercept and r2 are of the line through the points by least squares.",
		},
	}
	measurement := &Measurement{System: "plank"}
	for _, slope := range slopes {
		measurement.Figures = append(measurement.Figures, slope.figures()...)
		chart := &Chart{Name: slope.name, XLabel: slope.xLabel, YLabel: slope.yUnit}
		chart.Lines = []Line{{Name: slope.name, Points: slope.points}}
		report.Charts = append(report.Charts, chart)
	}
	report.Measurements = []*Measurement{measurement}
	return report, nil
}

// figures returns the points and the fitted line.
func (s *slope) figures() []Figure {
	var figures []Figure
	for _, point := range s.points {
		name := fmt.Sprintf("%s at %s %s", s.name, format(point.X), s.xLabel)
		figures = append(figures, Figure{Name: name, Unit: s.yUnit, Value: point.Y})
	}
	fit := fitLine(s.points)
	return append(figures,
		Figure{Name: s.name + ": slope", Unit: s.yUnit + "/" + s.xLabel, Value: fit.Slope},
		Figure{Name: s.name + ": intercept", Unit: s.yUnit, Value: fit.Intercept},
		Figure{Name: s.name + ": r2", Unit: "1", Value: fit.R2},
	)
}

// heapGrowth returns the bytes by which build makes the heap grow.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
