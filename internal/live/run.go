package live

import (
	"fmt"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// run is one execution of a scenario.
type run struct {
	scenario   *scenario
	options    *Options
	seed       uint64
	deployment *dev.Deployment
	// network is nil unless the scenario can cut connections.
	network  *dev.Network
	start    time.Time
	duration time.Duration
	watcher  *watcher
	usage    usage

	// leaves and stopErr are what planned stops left behind.
	leaves  []dev.LeaveCheck
	stopErr error
	// lost is the backend server that was lost, or "". Its partitions had to move.
	lost   string
	owners map[string][]string
	moved  int
	least  int

	report  *dev.Report
	figures []bench.Figure
	notes   []string
}

func (r *run) begin() {
	r.start = time.Now()
	r.owners = r.deployment.Owners()
	r.watcher = watch(r.deployment)
	r.usage = currentUsage(r.deployment.Store)
}

func (r *run) finish() {
	r.usage = currentUsage(r.deployment.Store).since(r.usage)
	r.watcher.stop()
	r.churn(r.deployment.Owners())
}

// at waits until the given part of the run is over.
func (r *run) at(share float64) {
	time.Sleep(time.Until(r.start.Add(time.Duration(share * float64(r.options.Duration)))))
}

func (r *run) end() time.Time { return r.start.Add(r.duration) }

// figure adds one further result.
func (r *run) figure(name, unit string, value float64) {
	r.figures = append(r.figures, bench.Figure{Name: name, Unit: unit, Value: value})
}

func (r *run) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// churn counts the partitions whose owner is another one than at the begin, and those that had to move.
func (r *run) churn(now map[string][]string) {
	for service, owners := range r.owners {
		for partition, owner := range owners {
			if owner == r.lost {
				r.least++
			}
			if now[service] == nil || now[service][partition] != owner {
				r.moved++
			}
		}
	}
}

func (r *run) evaluate() {
	observed := dev.Observed{Start: r.start, Duration: r.duration, Leaves: r.leaves, StopErr: r.stopErr}
	if r.scenario.calm {
		observed.CalmFrom, observed.CalmTo = r.start, r.end()
	}
	r.report = r.deployment.Evaluate(observed)
	if r.scenario.evaluate != nil {
		r.scenario.evaluate(r)
	}
}
