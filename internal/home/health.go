package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// Health is the state of a backend server as judged by its dispatcher.
type Health string

// Health states.
const (
	HealthUp       Health = "up"
	HealthDraining Health = "draining"
	HealthDown     Health = "down"
)

const (
	// failuresUntilDown is reached after 450 ms of failed renewals, within the 2 s that are allowed for a lost owner.
	failuresUntilDown = 3
	// failuresUntilUncontactedDown applies to a server that has not yet responded to this home. Another home may have
	// lost contact with it before, and the two delays add up.
	failuresUntilUncontactedDown = 2
	// probesUntilUp is the number of consecutive successful probes after which a server that is down counts as up.
	probesUntilUp = 2
	// requestEvidencePeriod is how long the response to a request outweighs failed probes.
	requestEvidencePeriod = 500 * time.Millisecond
	// initialRetryBackoff is the delay before a server that is down may be used again. It doubles, up to
	// maxRetryBackoff, until a request succeeds.
	initialRetryBackoff = 300 * time.Millisecond
	maxRetryBackoff     = 5 * time.Second
	// DrainDispatchPeriod is how long a server that reports draining still gets requests, as long as it accepts them. New
	// requests end within 3 s of the announcement.
	DrainDispatchPeriod = 2500 * time.Millisecond
)

// healthState determines the health of a backend server, with hysteresis. The results of requests count more than
// probes and the server's own report, which lag and can be wrong in both directions.
type healthState struct {
	status Health
	// contacted is true once the server has responded to this home. Until then it is only probed: a grant that a lost
	// server never receives would delay the move of its partitions until the grant expires.
	contacted bool
	// reportsFailing is true while the server reports that it is failing. The report alone has no effect, but with it a
	// single failed request is enough.
	reportsFailing bool
	// failures and probeFailures count consecutive failed requests and probes. They are separate because a server can
	// respond to one kind and not to the other.
	failures      int
	probeFailures int
	// goodProbes counts consecutive successful probes of a server that is down.
	goodProbes int
	// lastResponse is the time of the last request that got a response.
	lastResponse time.Time
	// halfOpen is true from the time when a server comes back until it has responded to a request. Meanwhile it gets
	// one request at a time.
	halfOpen bool
	// retryAt is the time before which a server that is down is not used again.
	retryAt time.Time
	backoff time.Duration
	// drainSince is the time of the first sign of draining, or zero.
	drainSince time.Time
	// refusedDraining is true once the server refused a request because it is draining.
	refusedDraining bool
}

func newHealthState() healthState {
	return healthState{status: HealthUp, backoff: initialRetryBackoff}
}

// recordSuccess records a request to which the server responded.
func (h *healthState) recordSuccess(now time.Time) {
	h.contacted = true
	h.lastResponse = now
	h.failures = 0
	h.probeFailures = 0
	h.halfOpen = false
	h.backoff = initialRetryBackoff
	if h.status == HealthDown {
		h.markUp()
	}
}

// recordFailure records a request that got no response because of the server.
func (h *healthState) recordFailure(now time.Time) {
	if h.halfOpen {
		h.markDown(now)
		return
	}
	h.failures++
	if h.reportsFailing || h.failures >= failuresUntilDown {
		h.markDown(now)
	}
}

// recordProbe records a probe or renewal. err is nil if the server responded.
func (h *healthState) recordProbe(now time.Time, report backend.Health, err error) {
	if err != nil {
		h.goodProbes = 0
		h.probeFailures++
		if h.probeFailures >= h.probeLimit() && now.Sub(h.lastResponse) >= requestEvidencePeriod {
			h.markDown(now)
		}
		return
	}
	h.contacted = true
	h.probeFailures = 0
	h.reportsFailing = report.State == backend.StateFailing
	h.recordDraining(now, report.State == backend.StateDraining)
	if h.status != HealthDown {
		return
	}
	h.goodProbes++
	if h.goodProbes >= probesUntilUp && !now.Before(h.retryAt) {
		h.markUp()
		h.halfOpen = true
	}
}

// probeLimit returns the number of failed probes after which the server is judged down.
func (h *healthState) probeLimit() int {
	if h.contacted {
		return failuresUntilDown
	}
	return failuresUntilUncontactedDown
}

func (h *healthState) recordDraining(now time.Time, draining bool) {
	switch {
	case draining && h.drainSince.IsZero():
		h.drainSince = now
	case !draining:
		h.drainSince = time.Time{}
		h.refusedDraining = false
	}
	h.updateDraining()
}

// updateDraining updates the status of a server that is not down according to drainSince.
func (h *healthState) updateDraining() {
	switch {
	case h.status == HealthDown:
	case h.drainSince.IsZero():
		h.status = HealthUp
	default:
		h.status = HealthDraining
	}
}

// recordDrainRefusal records that the server refused a request because it is draining.
func (h *healthState) recordDrainRefusal(now time.Time) {
	h.refusedDraining = true
	if h.drainSince.IsZero() {
		h.drainSince = now
	}
	h.updateDraining()
}

func (h *healthState) markDown(now time.Time) {
	if h.status == HealthDown {
		return
	}
	h.status = HealthDown
	h.goodProbes = 0
	h.halfOpen = false
	h.retryAt = now.Add(h.backoff)
	h.backoff = min(2*h.backoff, maxRetryBackoff)
}

func (h *healthState) markUp() {
	h.status = HealthUp
	h.failures = 0
	h.probeFailures = 0
	h.updateDraining()
}

// usableSlots returns how many of the slots may be used.
func (h *healthState) usableSlots(now time.Time, slots int) int {
	switch {
	case h.status == HealthDown:
		return 0
	case h.refusedDraining:
		return 0
	case !h.drainSince.IsZero() && now.Sub(h.drainSince) > DrainDispatchPeriod:
		return 0
	case h.halfOpen:
		return 1
	default:
		return slots
	}
}
