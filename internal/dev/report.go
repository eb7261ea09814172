package dev

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds, up to one minute.
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
	// drainBound is the time after the start of a drain from which a backend server must not receive new requests.
	drainBound = 3 * time.Second
)

// Report holds the results of one run.
type Report struct {
	Deployment     string
	Counts         [outcomeCount]int
	Kinds          map[string]int
	LightLatency   *hdrhistogram.Histogram
	HeavyLatency   *hdrhistogram.Histogram
	Imbalance      []Imbalance
	Disruptions    disruptions
	Moved          int
	MinMoved       int
	Unavailability Unavailability
	Invariants     []Invariant
	StoreCalls     uint64
	Requests       int
	Duration       time.Duration
}

// newReport evaluates the records and executions of a run that began at start.
func newReport(d *Deployment, f disruptions, start time.Time, duration time.Duration) *Report {
	records, executions := d.Records.All(), d.Executions.All()
	r := &Report{
		Deployment:   d.Name,
		Kinds:        make(map[string]int),
		LightLatency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
		HeavyLatency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
		Disruptions:  f,
		StoreCalls:   uint64(d.Store.Calls().Total()),
		Requests:     len(records),
		Duration:     duration,
	}
	for _, record := range records {
		r.count(record)
	}
	for _, s := range d.Config.Services {
		r.Imbalance = append(r.Imbalance, imbalance(s.Name, len(s.Servers), executions, start))
	}
	r.countMovedPartitions()
	r.Unavailability = measureUnavailable(availabilityRecords(records, d.keyedServices()), d.keyedServices(), start, start.Add(duration))
	r.Invariants = append(d.checkInvariants(records, executions), checkDraining(executions, f.Drains, drainBound),
		checkPlannedStops(records, f), checkAssignmentsPreserved(f), d.revisions.result())
	return r
}

func (r *Report) count(record Record) {
	r.Counts[record.Outcome]++
	if record.Outcome != OutcomeAnswered {
		r.Kinds[record.Kind]++
		return
	}
	histogram := r.LightLatency
	if record.Subscriber == heavySubscriber {
		histogram = r.HeavyLatency
	}
	// A latency above the range of the histogram is not recorded. This cannot occur, because clients give up
	// clientTimeoutMargin after the request timeout of 3 s.
	_ = histogram.RecordValue(record.Latency.Microseconds())
}

// availabilityRecords returns the requests of the prober for sharded services, and the requests of all light
// subscribers for the other services.
func availabilityRecords(records []Record, keyed map[string]bool) []Record {
	kept := make([]Record, 0, len(records))
	for _, record := range records {
		isProbe := record.Subscriber == probeSubscriber
		if isProbe == keyed[record.Service] && record.Subscriber != heavySubscriber {
			kept = append(kept, record)
		}
	}
	return kept
}

func (r *Report) countMovedPartitions() {
	if r.Disruptions.ownershipBefore != nil && r.Disruptions.ownershipAfter != nil {
		r.Moved, r.MinMoved = r.Disruptions.ownershipBefore.countMoved(r.Disruptions.ownershipAfter, r.Disruptions.FrozenServer)
	}
}

func (d *Deployment) checkInvariants(records []Record, executions []Execution) []Invariant {
	invariants := checkExecutions(records, executions)
	invariants = append(invariants, checkOwnership(executions, d.keyedServices())...)
	slotLimit := Invariant{Name: "slots of a backend server are never exceeded", Checked: len(executions)}
	if over := d.servers.overSlots(); over > 0 {
		slotLimit.Violations = over
		slotLimit.Example = "a backend server refused or queued requests that exceeded its slots"
	}
	return append(invariants, slotLimit)
}

func (d *Deployment) keyedServices() map[string]bool {
	keyed := make(map[string]bool)
	for _, s := range d.Config.Services {
		keyed[s.Name] = s.Keyed
	}
	return keyed
}

// Violated reports whether any invariant was violated.
func (r *Report) Violated() bool {
	return slices.ContainsFunc(r.Invariants, func(i Invariant) bool { return i.Violations > 0 })
}

// Write writes the report as a table.
func (r *Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\n%s\t%d requests in %s\n", r.Deployment, r.Requests, r.Duration)
	for outcome, n := range r.Counts {
		fmt.Fprintf(table, "  %s\t%d\n", Outcome(outcome), n)
	}
	for _, kind := range sortedNames(r.Kinds) {
		fmt.Fprintf(table, "    %s\t%d\n", kind, r.Kinds[kind])
	}
	writeLatency(table, "latency, light subscribers", r.LightLatency)
	writeLatency(table, "latency, heavy subscriber", r.HeavyLatency)
	fmt.Fprintf(table, "  run time\tmean %s, exponential\n", meanRunTime)
	for _, i := range r.Imbalance {
		fmt.Fprintf(table, "  imbalance of %s\tmean %.2f, worst second %.2f\n", i.Service, i.Mean, i.Worst)
	}
	fmt.Fprintf(table, "  planned stops\tgateway %s, backend server %s\n", r.Disruptions.StoppedGateway, drainingServer(r.Disruptions))
	fmt.Fprintf(table, "  lost gateway\t%s\n", r.Disruptions.KilledGateway)
	fmt.Fprintf(table, "  lost backend server\t%s\n", r.Disruptions.FrozenServer)
	fmt.Fprintf(table, "  churn\t%d partitions moved, least possible %d\n", r.Moved, r.MinMoved)
	fmt.Fprintf(table, "  unavailable time\tworst key %s (%s), %d keys, sum %s\n",
		r.Unavailability.Worst.Round(time.Millisecond), r.Unavailability.WorstKey, r.Unavailability.Keys,
		r.Unavailability.Total.Round(time.Millisecond))
	fmt.Fprintf(table, "  store calls\t%d\n", r.StoreCalls)
	r.writeInvariants(table)
	_ = table.Flush()
}

func drainingServer(f disruptions) string {
	if len(f.Drains) == 0 {
		return ""
	}
	return f.Drains[0].Server
}

func (r *Report) writeInvariants(w io.Writer) {
	sortByViolations(r.Invariants)
	for _, invariant := range r.Invariants {
		fmt.Fprintf(w, "  invariant: %s\t%d violations in %d cases\n", invariant.Name, invariant.Violations, invariant.Checked)
		if invariant.Example != "" {
			fmt.Fprintf(w, "    example\t%s\n", invariant.Example)
		}
	}
}

func writeLatency(w io.Writer, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	fmt.Fprintf(w, "  %s\tp50 %s, p99 %s, p99.9 %s\n", name, quantile(50), quantile(99), quantile(99.9))
}

func sortedNames(kinds map[string]int) []string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
