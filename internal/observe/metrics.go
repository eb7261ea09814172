// Package observe defines the metrics of plank-entry. docs/operations/metrics-and-logs.md describes each one.
package observe

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Label names. The values of each label are bounded by the code or by the configuration.
const (
	labelKind    = "kind"
	labelOutcome = "outcome"
	labelReason  = "reason"
	labelResult  = "result"
	labelStatus  = "status"
)

// durationBuckets are upper bounds in seconds, ranging from the latency of a local hop to the longest timeout.
var durationBuckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8}

// Metrics is the set of metrics of one gateway process. All methods are safe for concurrent use.
type Metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	durations       *prometheus.HistogramVec
	queueWaits      prometheus.Histogram
	refusals        *prometheus.CounterVec
	sends           *prometheus.CounterVec
	replaced        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	storeCalls      *prometheus.CounterVec
	orders          *prometheus.CounterVec
	movedKeys       prometheus.Counter
	elected         prometheus.Gauge
	storeEra        prometheus.Gauge
	version         prometheus.Gauge
	servers         prometheus.Gauge
	suspended       prometheus.Gauge
	limited         prometheus.Gauge
	heldOff         prometheus.Gauge
	slowStart       prometheus.Gauge
	hedges          *prometheus.CounterVec
	limitedSends    prometheus.Counter
	notices         *prometheus.CounterVec
	gateways        prometheus.Gauge
	ownershipRows   prometheus.Gauge
	drainedZones    prometheus.Gauge
	storeContactAge prometheus.Gauge
	dropped         prometheus.Counter
}

// New returns metrics with all values at zero.
func New() *Metrics {
	m := &Metrics{
		registry:        prometheus.NewRegistry(),
		requests:        newCounterVec("plank_entry_requests_total", "Requests answered, by kind of route and outcome.", labelKind, labelOutcome),
		durations:       newHistogramVec("plank_entry_request_seconds", "Time from the arrival of a request to its answer.", labelKind),
		queueWaits:      prometheus.NewHistogram(prometheus.HistogramOpts{Name: "plank_entry_wait_seconds", Help: "Time that a request waited for a backend server with room.", Buckets: durationBuckets}),
		refusals:        newCounterVec("plank_entry_refusals_total", "Requests refused before they were sent, by reason.", labelReason),
		sends:           newCounterVec("plank_entry_sends_total", "Sends to backend servers, by what they came to.", labelOutcome),
		replaced:        newCounterVec("plank_entry_replaced_responses_total", "Responses of backend servers that were replaced because they promise that a request was not executed although it may have been, by their status.", labelStatus),
		retries:         newCounterVec("plank_entry_retries_total", "Retries that were asked of the retry budget, by whether they were within it.", labelResult),
		storeCalls:      newCounterVec("plank_store_calls_total", "Calls of the platform's store. A waiting watch is one call.", labelKind, labelResult),
		orders:          newCounterVec("plank_orders_total", "Grants and releases sent to backend servers.", labelKind, labelResult),
		movedKeys:       newCounter("plank_moved_keys_total", "Keys that this gateway, as the elected one, moved to another backend server."),
		elected:         newGauge("plank_elected", "1 while this gateway is the elected one."),
		storeEra:        newGauge("plank_store_era", "Number of the store's history, which rises when the store comes back from an earlier copy."),
		version:         newGauge("plank_configuration_version", "Version of the configuration in force; 0 if there is none."),
		servers:         newGauge("plank_backend_servers", "Backend servers that are known."),
		suspended:       newGauge("plank_suspended_servers", "Backend servers that get no requests after silent or lost ones."),
		heldOff:         newGauge("plank_held_off_servers", "Backend servers that want no requests from this gateway for some time."),
		hedges:          newCounterVec("plank_entry_hedges_total", "Second copies of requests, by whether they were sent and whether theirs was the first response.", labelResult),
		slowStart:       newGauge("plank_slow_start_servers", "Backend servers that have just started and get a limited rate of requests."),
		limited:         newGauge("plank_limited_servers", "Backend servers that limit their request rate."),
		notices:         newCounterVec("plank_entry_notices_total", "Notices of backend servers in their responses, by what they say.", labelKind),
		limitedSends:    newCounter("plank_entry_limited_sends_total", "Requests placed on backend servers that limit their request rate."),
		gateways:        newGauge("plank_gateways", "Gateways with which this one shares limits."),
		ownershipRows:   newGauge("plank_ownership_rows", "Ranges of keys in the ownership tables."),
		drainedZones:    newGauge("plank_drained_zones", "Availability zones that the operator drains."),
		storeContactAge: newGauge("plank_store_contact_age_seconds", "Time since what the store holds was last confirmed, by the store or the elected gateway."),
		dropped:         newCounter("plank_log_lines_dropped_total", "Log lines that were dropped because the output was slow or the rate was exceeded."),
	}
	m.registry.MustRegister(m.requests, m.durations, m.queueWaits, m.refusals, m.sends, m.replaced, m.retries, m.storeCalls, m.orders,
		m.movedKeys, m.elected, m.storeEra, m.version, m.servers, m.suspended, m.limited, m.heldOff, m.slowStart, m.hedges, m.limitedSends, m.notices, m.gateways, m.ownershipRows, m.drainedZones, m.storeContactAge, m.dropped)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: durationBuckets}, labels)
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveRequest records a completed request and its duration.
func (m *Metrics) ObserveRequest(kind, outcome string, took time.Duration) {
	m.requests.WithLabelValues(kind, outcome).Inc()
	m.durations.WithLabelValues(kind).Observe(took.Seconds())
}

// ObserveWait records how long a request waited for a backend server.
func (m *Metrics) ObserveWait(wait time.Duration) { m.queueWaits.Observe(wait.Seconds()) }

// CountRefusal counts a request that was refused before it was sent to a backend server.
func (m *Metrics) CountRefusal(reason string) { m.refusals.WithLabelValues(reason).Inc() }

// CountAttempt counts an attempt to send a request to a backend server, by its outcome.
func (m *Metrics) CountAttempt(outcome string) { m.sends.WithLabelValues(outcome).Inc() }

// CountReplacedResponse counts a response of a backend server in whose place the gateway returned one of its own.
func (m *Metrics) CountReplacedResponse(status int) {
	m.replaced.WithLabelValues(strconv.Itoa(status)).Inc()
}

// CountRetry counts a request for a retry, by whether the retry budget granted it.
func (m *Metrics) CountRetry(granted bool) {
	if granted {
		m.retries.WithLabelValues("granted").Inc()
		return
	}
	m.retries.WithLabelValues("refused").Inc()
}

// CountStoreCall counts a call to the store.
func (m *Metrics) CountStoreCall(kind, result string) {
	m.storeCalls.WithLabelValues(kind, result).Inc()
}

// CountOrder counts a grant or a release, by whether it succeeded.
func (m *Metrics) CountOrder(kind string, err error) {
	if err != nil {
		m.orders.WithLabelValues(kind, "failed").Inc()
		return
	}
	m.orders.WithLabelValues(kind, "ok").Inc()
}

// CountMovedKeys counts keys that were reassigned to another backend server.
func (m *Metrics) CountMovedKeys(keys int) { m.movedKeys.Add(float64(keys)) }

// CountDroppedLines counts discarded log lines.
func (m *Metrics) CountDroppedLines(lines int) { m.dropped.Add(float64(lines)) }

// State is the current state of a gateway as shown in its gauges.
type State struct {
	Elected         bool
	StoreEra        uint64
	Version         uint64
	Servers         int
	Gateways        int
	OwnershipRows   int
	DrainedZones    int
	StoreContactAge time.Duration
}

// SetState updates the gauges of the gateway state.
func (m *Metrics) SetState(s State) {
	m.elected.Set(0)
	if s.Elected {
		m.elected.Set(1)
	}
	m.storeEra.Set(float64(s.StoreEra))
	m.version.Set(float64(s.Version))
	m.servers.Set(float64(s.Servers))
	m.gateways.Set(float64(s.Gateways))
	m.ownershipRows.Set(float64(s.OwnershipRows))
	m.drainedZones.Set(float64(s.DrainedZones))
	m.storeContactAge.Set(s.StoreContactAge.Seconds())
}

// CountHedge counts a second copy of a request, by result.
func (m *Metrics) CountHedge(result string) { m.hedges.WithLabelValues(result).Inc() }

// SetLimitedServers sets the number of backend servers that limit their request rate.
func (m *Metrics) SetLimitedServers(count int) { m.limited.Set(float64(count)) }

// SetSlowStartServers sets the number of backend servers that have just started and get a limited rate of requests.
func (m *Metrics) SetSlowStartServers(count int) { m.slowStart.Set(float64(count)) }

// SetHeldOffServers sets the number of backend servers that want no requests from this gateway now.
func (m *Metrics) SetHeldOffServers(count int) { m.heldOff.Set(float64(count)) }

// CountNotice counts a notice that a backend server gave of itself in a response.
func (m *Metrics) CountNotice(kind string) { m.notices.WithLabelValues(kind).Inc() }

// CountLimitedSend counts a request that is placed on a backend server that limits its request rate.
func (m *Metrics) CountLimitedSend() { m.limitedSends.Inc() }

// SetSuspendedServers sets the number of backend servers that are suspended from traffic.
func (m *Metrics) SetSuspendedServers(count int) { m.suspended.Set(float64(count)) }
