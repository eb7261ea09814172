// Package metrics defines the Prometheus metrics of a gateway. docs/operations/metrics-and-logs.md documents each of
// them.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

const (
	labelService   = "service"
	labelOutcome   = "outcome"
	labelServer    = "server"
	labelLease     = "lease"
	labelKind      = "kind"
	labelResult    = "result"
	labelDirection = "direction"
)

// durationBuckets are the histogram's upper bounds in seconds. They include the latency target of 11 ms and extend to
// the longest request timeout of 30 s.
var durationBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.011, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

// Metrics holds the metrics of one gateway. All methods are safe for concurrent use.
type Metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	requestDuration *prometheus.HistogramVec
	queueLength     *prometheus.GaugeVec
	slotsInUse      *prometheus.GaugeVec
	leaseRemaining  *prometheus.GaugeVec
	leasesLost      *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	controlMessages *prometheus.CounterVec
	controlBytes    *prometheus.CounterVec
	configRevision  prometheus.Gauge
}

// New returns a registry with the gateway's metrics, all zero, and the Go runtime and process collectors.
func New() *Metrics {
	m := &Metrics{
		registry:        prometheus.NewRegistry(),
		requests:        newCounterVec("plank_requests_total", "Requests answered to callers, by outcome of the execution.", labelService, labelOutcome),
		requestDuration: newDurationHistogram(),
		queueLength:     newGaugeVec("plank_queue_length", "Requests that wait in the queue of a backend server at its home.", labelServer),
		slotsInUse:      newGaugeVec("plank_slots_in_use", "Requests in execution on a backend server, as its home counts.", labelServer),
		leaseRemaining:  newGaugeVec("plank_lease_remaining_seconds", "Time until the lease ends; 0 without a lease.", labelLease),
		leasesLost:      newCounterVec("plank_leases_lost_total", "Leases that ended although the gateway wanted to keep them.", labelLease),
		storeCalls:      newCounterVec("plank_store_calls_total", "Calls to the platform's store. A waiting watch is one call.", labelKind, labelResult),
		controlMessages: newCounterVec("plank_control_messages_total", "Control messages between gateways.", labelDirection),
		controlBytes:    newCounterVec("plank_control_bytes_total", "Bytes of control messages between gateways.", labelDirection),
		configRevision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "plank_configuration_revision",
			Help: "Revision of the configuration in force; 0 if there is none.",
		}),
	}
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.requests, m.requestDuration, m.queueLength, m.slotsInUse, m.leaseRemaining, m.leasesLost,
		m.storeCalls, m.controlMessages, m.controlBytes, m.configRevision,
	)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

func newDurationHistogram() *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "plank_request_duration_seconds",
		Help:    "Time from the arrival of a request to the end of its answer.",
		Buckets: durationBuckets,
	}, []string{labelService})
}

// Handler returns an HTTP handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveRequest counts a request to which the gateway responded, and records its duration.
func (m *Metrics) ObserveRequest(service string, result outcome.Outcome, duration time.Duration) {
	m.requests.WithLabelValues(service, result.String()).Inc()
	m.requestDuration.WithLabelValues(service).Observe(duration.Seconds())
}

// SetServerLoad sets the queue length and the slots in use of a backend server whose home is this gateway.
func (m *Metrics) SetServerLoad(server string, queued, slotsInUse int) {
	m.queueLength.WithLabelValues(server).Set(float64(queued))
	m.slotsInUse.WithLabelValues(server).Set(float64(slotsInUse))
}

// RemoveServer removes the time series of a backend server whose home is now another gateway.
func (m *Metrics) RemoveServer(server string) {
	m.queueLength.DeleteLabelValues(server)
	m.slotsInUse.DeleteLabelValues(server)
}

// SetRevision sets the revision of the configuration in force.
func (m *Metrics) SetRevision(revision uint64) { m.configRevision.Set(float64(revision)) }

// RegisterDroppedEvents registers a counter of dropped timeline events that reads its value from dropped, such as
// timeline.Log.Dropped. It must be called at most once, because a second registration panics.
func (m *Metrics) RegisterDroppedEvents(dropped func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "plank_timeline_dropped_events_total",
		Help: "Events of the time line that were not written.",
	}, func() float64 { return float64(dropped()) }))
}
