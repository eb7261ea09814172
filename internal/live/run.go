package live

import (
	"fmt"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// run is one execution of a scenario and its results.
type run struct {
	scenario   *scenario
	options    *Options
	seed       uint64
	deployment *dev.Deployment
	// network is nil unless the scenario needs network faults.
	network  *dev.Network
	start    time.Time
	duration time.Duration
	monitor  *loopMonitor
	usage    usage

	// drains holds the backend servers with a planned stop, and stopErr the error of the planned stops of gateways.
	drains  []dev.Drain
	stopErr error
	// lostServer is the backend server that failed or left, or "". All of its partitions have to move.
	lostServer string
	// initialOwners holds the owner of each partition of each service at the start of the run.
	initialOwners map[string][]string
	// moves counts the partitions whose owner changed, minMoved those that lostServer owned at the start.
	moves    int
	minMoved int

	report  *dev.Report
	figures []bench.Figure
	notes   []string
}

func (r *run) startMeasurement() {
	r.start = time.Now()
	r.initialOwners = r.deployment.Owners()
	r.monitor = startMonitor(r.deployment)
	r.usage = currentUsage(r.deployment.Store)
}

func (r *run) stopMeasurement() {
	r.usage = currentUsage(r.deployment.Store).since(r.usage)
	r.monitor.stop()
	r.countMoves(r.deployment.Owners())
}

// waitUntil sleeps until the given fraction of the configured duration has passed.
func (r *run) waitUntil(fraction float64) {
	time.Sleep(time.Until(r.start.Add(time.Duration(fraction * float64(r.options.Duration)))))
}

func (r *run) end() time.Time { return r.start.Add(r.duration) }

func (r *run) addFigure(name, unit string, value float64) {
	r.figures = append(r.figures, bench.Figure{Name: name, Unit: unit, Value: value})
}

func (r *run) addNote(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// countMoves counts the partitions whose owner differs from the one at the start of the run, and those that had to move
// because lostServer owned them.
func (r *run) countMoves(current map[string][]string) {
	for service, owners := range r.initialOwners {
		for partition, owner := range owners {
			if owner == r.lostServer {
				r.minMoved++
			}
			if current[service] == nil || current[service][partition] != owner {
				r.moves++
			}
		}
	}
}

func (r *run) evaluate() {
	observed := dev.RunDetails{Start: r.start, Duration: r.duration, Drains: r.drains, StopErr: r.stopErr}
	if r.scenario.expectNoFailures {
		observed.FaultFreeFrom, observed.FaultFreeTo = r.start, r.end()
	}
	r.report = r.deployment.Evaluate(observed)
	if r.scenario.evaluate != nil {
		r.scenario.evaluate(r)
	}
}
