package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// Health is the dispatcher's judgement of its backend server.
type Health string

// Judgements.
const (
	HealthUp       Health = "up"
	HealthDraining Health = "draining"
	HealthDown     Health = "down"
)

const (
	// failuresUntilDown is reached after 450 ms of failed renewals, within the 2 s for a lost owner.
	failuresUntilDown = 3
	// failuresUntilUnknownDown is used for a server that never answered this home. Another home may have lost it
	// before, and the two waits add up.
	failuresUntilUnknownDown = 2
	// probesUntilUp is the number of successive good probes that end the state down.
	probesUntilUp = 2
	// ownEvidence is the time for which an answered request outweighs failed probes and bad reports.
	ownEvidence = 500 * time.Millisecond
	// trialBackoff is the first pause after a failed trial of a server that came back, and doubles.
	trialBackoff    = 300 * time.Millisecond
	maxTrialBackoff = 5 * time.Second
	// DrainDispatchPeriod is the time for which a server that reports draining still gets requests, if it takes
	// them. New work ends 3 s after the announcement.
	DrainDispatchPeriod = 2500 * time.Millisecond
)

// healthState judges a backend server with hysteresis. Answered and failed requests count more than probes
// and the server's own report, which lag and can be wrong in both directions.
type healthState struct {
	judgement Health
	// known is true once the server has answered this home. Until then it gets probes only: a grant that a lost
	// server never sees would delay the move of its partitions until the grant is over.
	known bool
	// suspect is true while the server reports that it is failing. The report alone has no effect; with it,
	// one failure is enough.
	suspect bool
	// failures and probeFailures count successive failed requests and probes. They are kept apart because a
	// server can answer one and not the other.
	failures      int
	probeFailures int
	// good counts successive good probes of a server that is down.
	good int
	// lastAnswer is the time of the last answered request.
	lastAnswer time.Time
	// trial is true until a server that came back has answered a request. It gets one at a time.
	trial bool
	// retryAt is the time before which a failed server is not tried again.
	retryAt time.Time
	backoff time.Duration
	// drainSince is the time of the first report of draining, or zero.
	drainSince time.Time
	// refusedDraining is true once the server refused a request because it drains.
	refusedDraining bool
}

func newHealthState() healthState {
	return healthState{judgement: HealthUp, backoff: trialBackoff}
}

// answered records a request that the server answered.
func (h *healthState) answered(now time.Time) {
	h.known = true
	h.lastAnswer = now
	h.failures = 0
	h.probeFailures = 0
	h.trial = false
	h.backoff = trialBackoff
	if h.judgement == HealthDown {
		h.up()
	}
}

// failed records a request that got no answer because of the server.
func (h *healthState) failed(now time.Time) {
	if h.trial {
		h.down(now)
		return
	}
	h.failures++
	if h.suspect || h.failures >= failuresUntilDown {
		h.down(now)
	}
}

// probed records a probe or renewal. err is nil if the server answered.
func (h *healthState) probed(now time.Time, report backend.Health, err error) {
	if err != nil {
		h.good = 0
		h.probeFailures++
		if h.probeFailures >= h.probeLimit() && now.Sub(h.lastAnswer) >= ownEvidence {
			h.down(now)
		}
		return
	}
	h.known = true
	h.probeFailures = 0
	h.suspect = report.State == backend.StateFailing
	h.drained(now, report.State == backend.StateDraining)
	if h.judgement != HealthDown {
		return
	}
	h.good++
	if h.good >= probesUntilUp && !now.Before(h.retryAt) {
		h.up()
		h.trial = true
	}
}

// probeLimit returns the number of failed probes after which the server is down.
func (h *healthState) probeLimit() int {
	if h.known {
		return failuresUntilDown
	}
	return failuresUntilUnknownDown
}

func (h *healthState) drained(now time.Time, draining bool) {
	switch {
	case draining && h.drainSince.IsZero():
		h.drainSince = now
	case !draining:
		h.drainSince = time.Time{}
		h.refusedDraining = false
	}
	h.judgeDrain()
}

// judgeDrain keeps the judgement of a server that is not down in line with its drain.
func (h *healthState) judgeDrain() {
	switch {
	case h.judgement == HealthDown:
	case h.drainSince.IsZero():
		h.judgement = HealthUp
	default:
		h.judgement = HealthDraining
	}
}

// refusedToDrain records that the server refused a request because it drains.
func (h *healthState) refusedToDrain(now time.Time) {
	h.refusedDraining = true
	if h.drainSince.IsZero() {
		h.drainSince = now
	}
	h.judgeDrain()
}

func (h *healthState) down(now time.Time) {
	if h.judgement == HealthDown {
		return
	}
	h.judgement = HealthDown
	h.good = 0
	h.trial = false
	h.retryAt = now.Add(h.backoff)
	h.backoff = min(2*h.backoff, maxTrialBackoff)
}

func (h *healthState) up() {
	h.judgement = HealthUp
	h.failures = 0
	h.probeFailures = 0
	h.judgeDrain()
}

// usableSlots returns how many of the slots may be used.
func (h *healthState) usableSlots(now time.Time, slots int) int {
	switch {
	case h.judgement == HealthDown:
		return 0
	case h.refusedDraining:
		return 0
	case !h.drainSince.IsZero() && now.Sub(h.drainSince) > DrainDispatchPeriod:
		return 0
	case h.trial:
		return 1
	default:
		return slots
	}
}
