// Package metrics holds the named metrics of a gateway. docs/operations/metrics-and-logs.md explains each one.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Labels.
const (
	labelService   = "service"
	labelOutcome   = "outcome"
	labelServer    = "server"
	labelLease     = "lease"
	labelKind      = "kind"
	labelResult    = "result"
	labelDirection = "direction"
)

// durationBuckets are upper bounds in seconds, around the target of 11 ms and up to the longest timeout of 30 s.
var durationBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.011, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

// Metrics are the metrics of one gateway. All methods are safe for concurrent use.
type Metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	durations       *prometheus.HistogramVec
	queueLength     *prometheus.GaugeVec
	slotsInUse      *prometheus.GaugeVec
	leaseSeconds    *prometheus.GaugeVec
	leasesLost      *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	controlMessages *prometheus.CounterVec
	controlBytes    *prometheus.CounterVec
	revision        prometheus.Gauge
}

// New returns metrics that are all zero, together with those of the Go runtime and of the process.
func New() *Metrics {
	m := &Metrics{
		registry:        prometheus.NewRegistry(),
		requests:        counters("plank_requests_total", "Requests answered to callers, by outcome of the execution.", labelService, labelOutcome),
		durations:       durations(),
		queueLength:     gauges("plank_queue_length", "Requests that wait in the queue of a backend server at its home.", labelServer),
		slotsInUse:      gauges("plank_slots_in_use", "Requests in execution on a backend server, as its home counts.", labelServer),
		leaseSeconds:    gauges("plank_lease_remaining_seconds", "Time until the lease ends; 0 without a lease.", labelLease),
		leasesLost:      counters("plank_leases_lost_total", "Leases that ended although the gateway wanted to keep them.", labelLease),
		storeCalls:      counters("plank_store_calls_total", "Calls to the platform's store. A waiting watch is one call.", labelKind, labelResult),
		controlMessages: counters("plank_control_messages_total", "Control messages between gateways.", labelDirection),
		controlBytes:    counters("plank_control_bytes_total", "Bytes of control messages between gateways.", labelDirection),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "plank_configuration_revision",
			Help: "Revision of the configuration in force; 0 if there is none.",
		}),
	}
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.requests, m.durations, m.queueLength, m.slotsInUse, m.leaseSeconds, m.leasesLost,
		m.storeCalls, m.controlMessages, m.controlBytes, m.revision,
	)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

func durations() *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "plank_request_duration_seconds",
		Help:    "Time from the arrival of a request to the end of its answer.",
		Buckets: durationBuckets,
	}, []string{labelService})
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveRequest counts a request that was answered to its caller.
func (m *Metrics) ObserveRequest(service string, o outcome.Outcome, took time.Duration) {
	m.requests.WithLabelValues(service, o.String()).Inc()
	m.durations.WithLabelValues(service).Observe(took.Seconds())
}

// SetServerLoad tells the queue length and the slots in use of a backend server whose home is this gateway.
func (m *Metrics) SetServerLoad(server string, queued, slotsInUse int) {
	m.queueLength.WithLabelValues(server).Set(float64(queued))
	m.slotsInUse.WithLabelValues(server).Set(float64(slotsInUse))
}

// RemoveServer removes a backend server that has another home now.
func (m *Metrics) RemoveServer(server string) {
	m.queueLength.DeleteLabelValues(server)
	m.slotsInUse.DeleteLabelValues(server)
}

// SetRevision tells the revision in force.
func (m *Metrics) SetRevision(revision uint64) { m.revision.Set(float64(revision)) }

// RegisterDroppedEvents shows the result of dropped, such as timeline.Log.Dropped, as the number of dropped events. Call it
// once.
func (m *Metrics) RegisterDroppedEvents(dropped func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "plank_timeline_dropped_events_total",
		Help: "Events of the time line that were not written.",
	}, func() float64 { return float64(dropped()) }))
}
