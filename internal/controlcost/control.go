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
	// warmUpTime is the time before the measurement, in which the cells of a fleet form and settle.
	warmUpTime = 8 * time.Second
	// steadyDuration is the length of the measurement without replacements.
	steadyDuration = 20 * time.Second
	// cellPartitions is the number of partitions of the sharded service in the experiments with a single cell.
	cellPartitions = 1024
	// fleetPartitions is the number of partitions of the sharded service in each fleet. All simulated gateways keep the
	// whole table in one process, so 65,536 partitions would need several gigabytes for 1,000 gateways.
	fleetPartitions = 4096
)

// cellSizes and fleetSizes are the measured numbers of gateways in a single cell and in a fleet of cells.
var (
	cellSizes  = []int{3, 6, config.MaxCellHosts}
	fleetSizes = []int{10, 100, 1000}
)

func controlExperiment() bench.Experiment {
	return bench.Experiment{
		Name:      "control",
		Summary:   "Control traffic and processor time per gateway of cells and fleets in simulated time.",
		Baselines: []string{"homes report load only"},
		Run:       runControl,
	}
}

func runControl(seed uint64) (*bench.Report, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	report := &bench.Report{
		Settings: []bench.Setting{
			{Name: "measured time", Value: fmt.Sprintf("%s steady, then %s with one planned replacement a minute in each cell", steadyDuration, replaceInterval)},
			{Name: "load average at the start", Value: bench.LoadAverage()},
			{Name: "backend servers", Value: fmt.Sprintf("%d per gateway", keyedServersPerHost+1)},
		},
		Notes: []string{
			"Bytes and messages are sent and received ones. Processor time is that of the state machine alone, without encoding, sockets and garbage collection on other threads.",
			"Homes repeat the health of each server every 150 ms, as gateways do; the baseline reports load once a second only.",
			"The fit is through bytes per second and gateway over the natural logarithm of the gateways of a fleet.",
		},
	}
	for _, reportHealth := range []bool{true, false} {
		m := &bench.Measurement{System: "homes report as gateways do"}
		if !reportHealth {
			m.System = "homes report load only"
		}
		report.Measurements = append(report.Measurements, m)
		for _, hosts := range cellSizes {
			measureFleet(m, seed, fmt.Sprintf("cell of %d", hosts), fleetConfig(hosts, config.MaxCellHosts, cellPartitions), reportHealth)
		}
		report.Charts = append(report.Charts, measureFleetGrowth(m, seed, reportHealth))
	}
	report.Settings = append(report.Settings, bench.Setting{Name: "load average at the end", Value: bench.LoadAverage()})
	return report, nil
}

// measureFleetGrowth measures all fleet sizes and fits the cost per gateway as a function of the size.
func measureFleetGrowth(m *bench.Measurement, seed uint64, reportHealth bool) *bench.Chart {
	chart := &bench.Chart{Name: fmt.Sprintf("fleet-all-reports-%v", reportHealth), XLabel: "ln(gateways)", YLabel: "per second and gateway"}
	bytes, cpu := bench.Line{Name: "bytes"}, bench.Line{Name: "processor time in us"}
	for _, hosts := range fleetSizes {
		total := measureFleet(m, seed, fmt.Sprintf("fleet of %d", hosts), fleetConfig(hosts, config.MaxCellHosts, fleetPartitions), reportHealth)
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

// measureFleet adds the figures of one fleet and returns its cost in steady state, summed over all roles.
func measureFleet(m *bench.Measurement, seed uint64, name string, c *config.Config, reportHealth bool) cost {
	f := newFleet(seed, c, reportHealth)
	f.advance(warmUpTime)
	f.resetCosts()
	f.advance(steadyDuration)
	cells := len(c.Cells())
	total := f.addFigures(m, name+", steady", cells, steadyDuration)
	f.resetCosts()
	f.scheduleReplacements()
	f.advance(replaceInterval)
	f.addFigures(m, name+", replacing", cells, replaceInterval)
	m.Figures = append(m.Figures,
		bench.Figure{Name: name + ": gateways replaced", Unit: "1", Value: float64(f.replaced)},
		bench.Figure{Name: name + ": gateways that did not leave within 10 s", Unit: "1", Value: float64(f.leaveTimeouts)})
	return total
}

// addFigures adds the figures of the costs since the last reset and returns the sum of the costs over all roles.
func (f *fleet) addFigures(m *bench.Measurement, name string, cells int, length time.Duration) cost {
	var total cost
	for r := range roleCount {
		c := &f.costs[r]
		total.merge(*c)
		add := func(what, unit string, value float64) {
			m.Figures = append(m.Figures, bench.Figure{Name: fmt.Sprintf("%s: %s, %s", name, r, what), Unit: unit, Value: value})
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
