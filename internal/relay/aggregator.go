package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// gatewayCountRetention is how long a disconnected gateway is still counted. It may be partitioned and continue to use
// its share of a limit.
const gatewayCountRetention = time.Minute

// Aggregator aggregates the reports of all gateways. It is safe for concurrent use.
type Aggregator struct {
	clock func() time.Duration

	// mu protects the fields below.
	mu      sync.Mutex
	reports map[string]*gatewayReport
	// lastSeen is the time of the last report of each gateway.
	lastSeen map[string]time.Duration
}

// gatewayReport is the latest report of one gateway.
type gatewayReport struct {
	// session is the ID of the session over which it was received.
	session  SessionID
	loads    map[uint32]int
	runTimes map[uint32]RunTime
}

// RunTime is the mean run time of requests at a backend server, with the number of measurements behind it.
type RunTime struct {
	Mean         time.Duration
	Measurements int
}

// NewAggregator returns an aggregator without reports.
func NewAggregator(clock func() time.Duration) *Aggregator {
	return &Aggregator{clock: clock, reports: make(map[string]*gatewayReport), lastSeen: make(map[string]time.Duration)}
}

// Report stores a report of a gateway. Reports of an earlier session than the latest one are ignored.
func (a *Aggregator) Report(host string, session SessionID, report *wire.RelayUp) {
	a.mu.Lock()
	defer a.mu.Unlock()
	latest := a.reports[host]
	if latest != nil && latest.session > session {
		return
	}
	if latest == nil || latest.session < session {
		latest = &gatewayReport{session: session}
		a.reports[host] = latest
	}
	a.lastSeen[host] = a.clock()
	if report.HasLoad {
		latest.loads = DecodeLoads(report.Load)
	}
	if report.AllRunTimes || latest.runTimes == nil {
		latest.runTimes = make(map[uint32]RunTime)
	}
	maps.Copy(latest.runTimes, DecodeRunTimes(report.RunTimes))
}

// Remove drops the reports of a gateway whose session has ended, unless it has connected again.
func (a *Aggregator) Remove(host string, session SessionID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if latest := a.reports[host]; latest != nil && latest.session == session {
		delete(a.reports, host)
	}
}

// Gateways returns the number of gateways that sent a report within gatewayCountRetention.
func (a *Aggregator) Gateways() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	maps.DeleteFunc(a.lastSeen, func(_ string, at time.Duration) bool { return now-at > gatewayCountRetention })
	return len(a.lastSeen)
}

// Loads returns the number of requests in flight at each backend server, summed over all gateways.
func (a *Aggregator) Loads() map[uint32]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := make(map[uint32]int)
	for _, latest := range a.reports {
		for server, requests := range latest.loads {
			sums[server] += requests
		}
	}
	return sums
}

// RunTimes returns the run time of requests at each backend server, averaged over the measurements of all gateways.
func (a *Aggregator) RunTimes() map[uint32]RunTime {
	a.mu.Lock()
	defer a.mu.Unlock()
	totals := make(map[uint32]time.Duration)
	counts := make(map[uint32]int)
	for _, latest := range a.reports {
		for server, runTime := range latest.runTimes {
			totals[server] += runTime.Mean * time.Duration(runTime.Measurements)
			counts[server] += runTime.Measurements
		}
	}
	means := make(map[uint32]RunTime, len(totals))
	for server, total := range totals {
		if counts[server] > 0 {
			means[server] = RunTime{Mean: total / time.Duration(counts[server]), Measurements: counts[server]}
		}
	}
	return means
}

// AverageRunTime returns the average run time over all backend servers, or 0 if there are no measurements.
func AverageRunTime(runTimes map[uint32]RunTime) time.Duration {
	if len(runTimes) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, runTime := range runTimes {
		total += runTime.Mean
	}
	return total / time.Duration(len(runTimes))
}
