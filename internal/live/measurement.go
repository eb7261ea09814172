package live

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// measurement computes the figures of a run and returns them as a column of the report.
func (r *run) measurement() *bench.Measurement {
	r.addOutcomes()
	r.addViolations()
	r.addImbalance()
	r.addUnavailableTimes()
	latency := r.addLatency()
	r.addControlCost()
	m := &bench.Measurement{System: r.scenario.name, Latency: latency, Figures: r.figures}
	m.Churn = r.churn()
	return m
}

// churn returns the moved partitions as a fraction of all partitions of sharded services.
func (r *run) churn() *bench.Churn {
	all := 0
	for _, owners := range r.initialOwners {
		all += len(owners)
	}
	return &bench.Churn{Moved: float64(r.moves) / float64(all), MinMoved: float64(r.minMoved) / float64(all), Moves: r.moves}
}

func (r *run) addOutcomes() {
	r.addFigure("length of the run", "s", r.duration.Seconds())
	r.addFigure("requests", "1", float64(r.report.Requests))
	for outcome, n := range r.report.Counts {
		r.addFigure("requests "+dev.Outcome(outcome).String(), "1", float64(n))
	}
	kinds := make([]string, 0, len(r.report.Kinds))
	for kind := range r.report.Kinds {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		r.addFigure("refused or failed by "+kind, "1", float64(r.report.Kinds[kind]))
	}
	executions := len(r.deployment.Executions.All())
	r.addFigure("executions per answered request", "1", float64(executions)/float64(max(1, r.report.Counts[dev.OutcomeAnswered])))
}

func (r *run) addViolations() {
	total := 0
	for _, invariant := range r.report.Invariants {
		total += invariant.Violations
		if invariant.Violations > 0 {
			r.addNote("promise broken: %s: %d of %d, for example %s", invariant.Name, invariant.Violations, invariant.Checked, invariant.Example)
		}
	}
	r.addFigure("promise violations", "1", float64(total))
	r.addOverlapNotes()
}

func (r *run) addImbalance() {
	for _, i := range r.report.Imbalance {
		if i.Seconds > 0 {
			r.addFigure("imbalance of "+i.Service+", mean over seconds", "max/mean", i.Mean)
			r.addFigure("imbalance of "+i.Service+", worst second", "max/mean", i.Worst)
		}
	}
	for _, s := range r.deployment.Config.Services {
		if ratio, ok := r.overallImbalance(s.Name, len(s.Servers)); ok {
			r.addFigure("imbalance of "+s.Name+", whole run", "max/mean", ratio)
		}
	}
	r.addFigure("partitions moved at the least", "1", float64(r.minMoved))
}

// overallImbalance returns the executions of the busiest server divided by the mean over all servers, for the whole
// run. With few executions per server the ratio is mostly chance.
func (r *run) overallImbalance(service string, servers int) (float64, bool) {
	counts := make(map[string]int)
	total, most := 0, 0
	for _, e := range r.deployment.Executions.All() {
		if e.Service == service {
			counts[e.Server]++
			total++
			most = max(most, counts[e.Server])
		}
	}
	return float64(most) * float64(servers) / float64(max(1, total)), total > 0
}

func (r *run) addUnavailableTimes() {
	for _, s := range r.deployment.Config.Services {
		u := r.deployment.MeasureUnavailability(s.Name, r.start, r.end(), func(dev.Record) bool { return true })
		r.addUnavailableFigures(s.Name, s.Keyed, u)
		if u.Worst > 0 {
			r.addNote("longest unavailable interval: %s for %s, starting at %s", u.WorstKey, u.Worst.Round(time.Millisecond), u.WorstFrom.Sub(r.start).Round(time.Millisecond))
		}
	}
}

func (r *run) addUnavailableFigures(name string, keyed bool, u dev.Unavailability) {
	if !keyed {
		r.addFigure("unavailable, "+name+", longest", "ms", millis(u.Worst))
		r.addFigure("unavailable, "+name+", total", "ms", millis(u.Total))
		return
	}
	r.addFigure("unavailable, worst key of "+name, "ms", millis(u.Worst))
	r.addFigure("unavailable, total over keys of "+name, "ms", millis(u.Total))
	r.addFigure("unavailable, keys of "+name, "1", float64(u.Keys))
}

// addLatency adds the figures of the run time alone and of the latency without it, and returns the latency of the
// light subscribers.
func (r *run) addLatency() *bench.Latency {
	execution, added := newHistogram(), newHistogram()
	runTimes := make(map[string]time.Duration)
	for _, e := range r.deployment.Executions.All() {
		runTimes[e.Identity] = e.End.Sub(e.Start)
	}
	for _, record := range r.deployment.Records.All() {
		runTime, ok := runTimes[record.Identity]
		if ok && record.Outcome == dev.OutcomeAnswered && !record.IsHeavy() {
			recordDuration(execution, runTime)
			recordDuration(added, record.Latency-runTime)
		}
	}
	r.addQuantiles("execution alone", execution)
	r.addQuantiles("latency without execution", added)
	if r.report.HeavyLatency.TotalCount() > 0 {
		r.addQuantiles("latency, heavy subscriber", r.report.HeavyLatency)
	}
	light := r.report.LightLatency
	return &bench.Latency{
		P50: quantile(light, 50), P99: quantile(light, 99), P999: quantile(light, 99.9),
		RunTimeP99: quantile(execution, 99),
		Refused:    float64(r.report.Counts[dev.OutcomeNotExecuted]) / float64(max(1, r.report.Requests)),
	}
}

func (r *run) addQuantiles(name string, h *hdrhistogram.Histogram) {
	r.addFigure(name+", p50", "ms", quantile(h, 50))
	r.addFigure(name+", p99", "ms", quantile(h, 99))
	r.addFigure(name+", p99.9", "ms", quantile(h, 99.9))
}

func (r *run) addControlCost() {
	seconds := r.duration.Seconds()
	cost := r.monitor.controlTraffic()
	r.addFigure("cell messages per holder", "1/s", cost.holder.messages)
	r.addFigure("cell bytes per holder", "B/s", cost.holder.bytes)
	r.addFigure("cell messages per other gateway", "1/s", cost.other.messages)
	r.addFigure("cell bytes per other gateway", "B/s", cost.other.bytes)
	r.addFigure("cell bytes, gateway with the most", "B/s", cost.busiest.bytes)
	r.addFigure("store calls", "1/s", float64(r.usage.storeCalls)/seconds)
	r.addFigure("processor time of the whole process", "cores", r.usage.cpu.Seconds()/seconds)
	r.addFigure("longest delay of a control loop", "ms", millis(r.monitor.maxDelay))
}

// reportNotes returns the notes of a run, with a warning if the control loops were delayed, which makes the run
// invalid.
func (r *run) reportNotes() []string {
	if r.monitor.exceeded > 0 {
		r.addNote("WARNING: this run is not valid: %d replies of control loops took more than %s, the longest %s (%s); "+
			"the machine is overloaded: lower --scale or repeat the run later", r.monitor.exceeded, maxLoopDelay,
			r.monitor.maxDelay.Round(time.Millisecond), r.monitor.slowestHost)
	}
	return r.notes
}
