package live

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// measurement returns the column of a run.
func (r *run) measurement() *bench.Measurement {
	r.outcomes()
	r.promises()
	r.imbalance()
	r.unavailable()
	latency := r.latency()
	r.control()
	m := &bench.Measurement{System: r.scenario.name, Latency: latency, Figures: r.figures}
	m.Churn = r.churnOf()
	return m
}

// churnOf returns the moved partitions as a share of all partitions of services that are divided by key.
func (r *run) churnOf() *bench.Churn {
	all := 0
	for _, owners := range r.owners {
		all += len(owners)
	}
	return &bench.Churn{Moved: float64(r.moved) / float64(all), Least: float64(r.least) / float64(all), Moves: r.moved}
}

func (r *run) outcomes() {
	r.figure("length of the run", "s", r.duration.Seconds())
	r.figure("requests", "1", float64(r.report.Requests))
	for result, n := range r.report.Counts {
		r.figure("requests "+dev.Result(result).String(), "1", float64(n))
	}
	kinds := make([]string, 0, len(r.report.Kinds))
	for kind := range r.report.Kinds {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		r.figure("refused or failed by "+kind, "1", float64(r.report.Kinds[kind]))
	}
	executions := len(r.deployment.Executions.All())
	r.figure("executions per answered request", "1", float64(executions)/float64(max(1, r.report.Counts[dev.ResultAnswered])))
}

func (r *run) promises() {
	total := 0
	for _, p := range r.report.Promises {
		total += p.Violations
		if p.Violations > 0 {
			r.note("promise broken: %s: %d of %d, for example %s", p.Name, p.Violations, p.Checked, p.Example)
		}
	}
	r.figure("promise violations", "1", float64(total))
	r.noteOverlaps()
}

func (r *run) imbalance() {
	for _, i := range r.report.Imbalance {
		if i.Seconds > 0 {
			r.figure("imbalance of "+i.Service+", mean over seconds", "max/mean", i.Mean)
			r.figure("imbalance of "+i.Service+", worst second", "max/mean", i.Worst)
		}
	}
	for _, s := range r.deployment.Config.Services {
		if ratio, ok := r.wholeImbalance(s.Name, len(s.Servers)); ok {
			r.figure("imbalance of "+s.Name+", whole run", "max/mean", ratio)
		}
	}
	r.figure("partitions moved at the least", "1", float64(r.least))
}

// wholeImbalance returns the executions of the busiest server over the mean, for the whole run. With few executions
// per server it is mostly chance.
func (r *run) wholeImbalance(service string, servers int) (float64, bool) {
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

func (r *run) unavailable() {
	for _, s := range r.deployment.Config.Services {
		u := r.deployment.UnavailableOf(s.Name, r.start, r.end(), func(dev.Record) bool { return true })
		r.unavailableFigures(s.Name, s.Keyed, u)
		if u.Worst > 0 {
			r.note("longest unavailable: %s for %s from %s on", u.WorstKey, u.Worst.Round(time.Millisecond), u.WorstFrom.Sub(r.start).Round(time.Millisecond))
		}
	}
}

func (r *run) unavailableFigures(name string, keyed bool, u dev.Unavailable) {
	if !keyed {
		r.figure("unavailable, "+name+", longest", "ms", millis(u.Worst))
		r.figure("unavailable, "+name+", total", "ms", millis(u.Total))
		return
	}
	r.figure("unavailable, worst key of "+name, "ms", millis(u.Worst))
	r.figure("unavailable, total over keys of "+name, "ms", millis(u.Total))
	r.figure("unavailable, keys of "+name, "1", float64(u.Keys))
}

// latency returns the latency of the light subscribers, and records the execution alone and the time that the system
// adds to it.
func (r *run) latency() *bench.Latency {
	execution, added := newHistogram(), newHistogram()
	took := make(map[string]time.Duration)
	for _, e := range r.deployment.Executions.All() {
		took[e.Identity] = e.End.Sub(e.Start)
	}
	for _, record := range r.deployment.Ledger.All() {
		served, ok := took[record.Identity]
		if ok && record.Result == dev.ResultAnswered && !record.IsHeavy() {
			add(execution, served)
			add(added, record.Took-served)
		}
	}
	r.quantiles("execution alone", execution)
	r.quantiles("latency without execution", added)
	if r.report.Heavy.TotalCount() > 0 {
		r.quantiles("latency, heavy subscriber", r.report.Heavy)
	}
	light := r.report.Light
	return &bench.Latency{
		P50: quantile(light, 50), P99: quantile(light, 99), P999: quantile(light, 99.9),
		ServiceP99: quantile(execution, 99),
		Refused:    float64(r.report.Counts[dev.ResultNotRun]) / float64(max(1, r.report.Requests)),
	}
}

func (r *run) quantiles(name string, h *hdrhistogram.Histogram) {
	r.figure(name+", p50", "ms", quantile(h, 50))
	r.figure(name+", p99", "ms", quantile(h, 99))
	r.figure(name+", p99.9", "ms", quantile(h, 99.9))
}

func (r *run) control() {
	seconds := r.duration.Seconds()
	cost := r.watcher.cost()
	r.figure("cell messages per holder", "1/s", cost.holder.messages)
	r.figure("cell bytes per holder", "B/s", cost.holder.bytes)
	r.figure("cell messages per other gateway", "1/s", cost.other.messages)
	r.figure("cell bytes per other gateway", "B/s", cost.other.bytes)
	r.figure("cell bytes, gateway with the most", "B/s", cost.most.bytes)
	r.figure("store calls", "1/s", float64(r.usage.storeCalls)/seconds)
	r.figure("processor time of the whole process", "cores", r.usage.cpu.Seconds()/seconds)
	r.figure("longest delay of a control loop", "ms", millis(r.watcher.worst))
}

// allNotes returns the notes of a run. A run whose control loops were delayed is not valid.
func (r *run) allNotes() []string {
	if r.watcher.over > 0 {
		r.note("WARNING: this run is not valid: %d answers of control loops took more than %s, the longest %s (%s), "+
			"because the machine is busy; lower --scale or wait", r.watcher.over, maxLoopDelay,
			r.watcher.worst.Round(time.Millisecond), r.watcher.delayed)
	}
	return r.notes
}
