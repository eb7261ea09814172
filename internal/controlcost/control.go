package controlcost

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

var background = context.Background()

const (
	// warmTime lets a fleet start and settle.
	warmTime = 8 * time.Second
	// steadyTime is measured without changes.
	steadyTime = 20 * time.Second
	// cellPartitions is the number of partitions of a service for a single cell.
	cellPartitions = 1024
	// fleetPartitions is the number of partitions for each fleet. Each simulated gateway keeps the whole table in one
	// process, so that 65,536 would need several gigabytes for 1,000 gateways.
	fleetPartitions = 4096
)

// sizes are the measured fleets: single cells first, then fleets of cells.
var (
	cellSizes  = []int{3, 6, config.MaxCellHosts}
	fleetSizes = []int{10, 100, 1000}
)

func controlExperiment() bench.Experiment {
	return bench.Experiment{
		Name:      "control",
		Summary:   "Control traffic and processor time per gateway of cells and fleets on simulated time.",
		Baselines: []string{"homes report load only"},
		Run:       runControl,
	}
}

func runControl(seed uint64) (*bench.Report, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	report := &bench.Report{
		Settings: []bench.Setting{
			{Name: "measured time", Value: fmt.Sprintf("%s steady, then %s with one planned replacement a minute in each cell", steadyTime, replaceInterval)},
			{Name: "load average at the start", Value: bench.LoadAverage()},
			{Name: "backend servers", Value: fmt.Sprintf("%d per gateway", keyedServersPerHost+1)},
		},
		Notes: []string{
			"Bytes and messages are sent and received ones. Processor time is that of the state machine alone, without encoding, sockets and garbage collection on other threads.",
			"Homes repeat the health of each server every 150 ms, as gateways do; the baseline reports load once a second only.",
			"The fit is through bytes per second and gateway over the natural logarithm of the gateways of a fleet.",
		},
	}
	for _, allReports := range []bool{true, false} {
		m := &bench.Measurement{System: "homes report as gateways do"}
		if !allReports {
			m.System = "homes report load only"
		}
		report.Measurements = append(report.Measurements, m)
		for _, hosts := range cellSizes {
			measure(m, seed, fmt.Sprintf("cell of %d", hosts), fleetConfig(hosts, config.MaxCellHosts, cellPartitions), allReports)
		}
		report.Charts = append(report.Charts, measureFleets(m, seed, allReports))
	}
	report.Settings = append(report.Settings, bench.Setting{Name: "load average at the end", Value: bench.LoadAverage()})
	return report, nil
}

// measureFleets measures all fleets and fits the growth per gateway.
func measureFleets(m *bench.Measurement, seed uint64, allReports bool) *bench.Chart {
	chart := &bench.Chart{Name: fmt.Sprintf("fleet-all-reports-%v", allReports), XLabel: "ln(gateways)", YLabel: "per second and gateway"}
	bytes, cpu := bench.Line{Name: "bytes"}, bench.Line{Name: "processor time in us"}
	for _, hosts := range fleetSizes {
		total := measure(m, seed, fmt.Sprintf("fleet of %d", hosts), fleetConfig(hosts, config.MaxCellHosts, fleetPartitions), allReports)
		x := math.Log(float64(hosts))
		bytes.Points = append(bytes.Points, bench.Point{X: x, Y: total.perSecond(float64(total.bytes))})
		cpu.Points = append(cpu.Points, bench.Point{X: x, Y: total.perSecond(float64(total.cpu.Microseconds()))})
	}
	for _, line := range []bench.Line{bytes, cpu} {
		fit := bench.FitLine(line.Points)
		m.Figures = append(m.Figures,
			bench.Figure{Name: "fit of " + line.Name + " over ln(gateways): slope", Unit: "1/s", Value: fit.Slope},
			bench.Figure{Name: "fit of " + line.Name + " over ln(gateways): intercept", Unit: "1/s", Value: fit.Intercept},
			bench.Figure{Name: "fit of " + line.Name + " over ln(gateways): r2", Unit: "1", Value: fit.R2})
	}
	chart.Lines = []bench.Line{bytes, cpu}
	return chart
}

// measure adds the figures of one fleet, and returns its cost in steady state over all parts.
func measure(m *bench.Measurement, seed uint64, name string, c *config.Config, allReports bool) cost {
	f := newFleet(seed, c, allReports)
	f.run(warmTime)
	f.reset()
	f.run(steadyTime)
	cells := len(c.Cells())
	total := f.figures(m, name+", steady", cells, steadyTime)
	f.reset()
	f.replaceMembers()
	f.run(replaceInterval)
	f.figures(m, name+", replacing", cells, replaceInterval)
	m.Figures = append(m.Figures,
		bench.Figure{Name: name + ": gateways replaced", Unit: "1", Value: float64(f.replaced)},
		bench.Figure{Name: name + ": gateways that did not leave within 10 s", Unit: "1", Value: float64(f.stuck)})
	return total
}

// figures adds the costs since the last reset and returns their sum.
func (f *fleet) figures(m *bench.Measurement, name string, cells int, length time.Duration) cost {
	var total cost
	for p := range partCount {
		c := &f.costs[p]
		total.plus(*c)
		add := func(what, unit string, value float64) {
			m.Figures = append(m.Figures, bench.Figure{Name: fmt.Sprintf("%s: %s, %s", name, p, what), Unit: unit, Value: value})
		}
		add("messages", "1/s", c.perSecond(float64(c.messages)))
		add("bytes", "B/s", c.perSecond(float64(c.bytes)))
		add("processor", "% of a core", 100*c.perSecond(c.cpu.Seconds()))
	}
	m.Figures = append(m.Figures, bench.Figure{
		Name: name + ": store calls per cell", Unit: "1/s", Value: float64(total.storeCalls) / float64(cells) / length.Seconds(),
	})
	return total
}
