package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// countMemory is how long a gateway that is no longer connected still counts: it may be cut off and go on with its
// part of a shared limit.
const countMemory = time.Minute

// Aggregator sums up what the gateways report. It is safe for concurrent use.
type Aggregator struct {
	clock func() time.Duration

	// mu protects the fields below.
	mu      sync.Mutex
	members map[string]*member
	// seen is when each gateway was last connected.
	seen map[string]time.Duration
}

// member is one gateway with what it reported last.
type member struct {
	loads map[uint32]int
	works map[uint32]RunTime
}

// RunTime is how long requests run at a backend server.
type RunTime struct {
	Mean         time.Duration
	Measurements int
}

// NewAggregator returns a hub without gateways.
func NewAggregator(clock func() time.Duration) *Aggregator {
	return &Aggregator{clock: clock, members: make(map[string]*member), seen: make(map[string]time.Duration)}
}

// Report takes what a gateway reports.
func (h *Aggregator) Report(host string, up *wire.RelayUp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.members[host]
	if m == nil {
		m = &member{}
		h.members[host] = m
	}
	h.seen[host] = h.clock()
	if up.HasLoad {
		m.loads = DecodeLoads(up.Load)
	}
	if len(up.Works) > 0 {
		m.works = DecodeRunTimes(up.Works)
	}
}

// Remove forgets the reports of a gateway whose connection has ended.
func (h *Aggregator) Remove(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.members, host)
}

// Gateways returns the number of gateways that were connected lately.
func (h *Aggregator) Gateways() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	maps.DeleteFunc(h.seen, func(_ string, at time.Duration) bool { return now-at > countMemory })
	return len(h.seen)
}

// Loads returns the requests of all gateways at each backend server.
func (h *Aggregator) Loads() map[uint32]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sums := make(map[uint32]int)
	for _, m := range h.members {
		for server, requests := range m.loads {
			sums[server] += requests
		}
	}
	return sums
}

// RunTimes returns how long requests run at each backend server, as the mean over all measurements.
func (h *Aggregator) RunTimes() map[uint32]RunTime {
	h.mu.Lock()
	defer h.mu.Unlock()
	totals := make(map[uint32]time.Duration)
	counts := make(map[uint32]int)
	for _, m := range h.members {
		for server, work := range m.works {
			totals[server] += work.Mean * time.Duration(work.Measurements)
			counts[server] += work.Measurements
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

// AverageRunTime returns the average run time over all backend servers, or 0 without measurements.
func AverageRunTime(works map[uint32]RunTime) time.Duration {
	if len(works) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, work := range works {
		total += work.Mean
	}
	return total / time.Duration(len(works))
}
