package quota

import (
	"math"
	"time"
)

const (
	// demandPeriod is the time constant of the moving average of a gateway's demand.
	demandPeriod = time.Second
	// minDemand is the demand, in requests a second, that is assumed of a gateway without any.
	minDemand = 0.001
	// idleDemand is the demand, in requests a second, below which a gateway counts as idle: its last request was longer
	// ago than a permit lasts.
	idleDemand = 0.2
)

// member is one gateway among those that share the rate of a backend server.
type member struct {
	// demand is the moving average of the requests a second, as of demandAt.
	demand   float64
	demandAt time.Duration
	// waiting are the requests that wait at the gateway for a permit that is not issued yet.
	waiting Waiting
	// credit orders the gateways for the next permit.
	credit float64
	// issued are the times of the permits that are neither used nor returned, the earliest first.
	issued []time.Duration
}

// report applies a usage, and returns the number of permits to be issued again.
func (m *member) report(usage Usage, now time.Duration) int {
	m.demand = m.currentDemand(now) + float64(usage.Wanted)/demandPeriod.Seconds()
	m.demandAt = now
	used := min(usage.Used, len(m.issued))
	m.issued = m.issued[used:]
	returned := min(usage.Returned, len(m.issued))
	m.issued = m.issued[returned:]
	// The permits that are left were on their way when the gateway reported.
	m.waiting = usage.Waiting
	m.waiting.remove(len(m.issued))
	return returned
}

func (m *member) issue(now time.Duration) {
	m.issued = append(m.issued, now)
	m.waiting.remove(1)
}

// expire drops permits that the gateway should have reported long ago. They count as used.
func (m *member) expire(now, lifetime time.Duration) {
	for len(m.issued) > 0 && now-m.issued[0] > lifetime+permitReportGrace {
		m.issued = m.issued[1:]
	}
}

func (m *member) currentDemand(now time.Duration) float64 {
	return m.demand * math.Exp(-(now-m.demandAt).Seconds()/demandPeriod.Seconds())
}

// weight returns the weight of the gateway when permits are divided.
func (m *member) weight(now time.Duration) float64 { return minDemand + m.currentDemand(now) }

// idle reports whether the gateway has had no demand recently.
func (m *member) idle(now time.Duration) bool { return m.currentDemand(now) < idleDemand }

// mayHoldMore reports whether the gateway can use another permit before it expires.
func (m *member) mayHoldMore(now, lifetime time.Duration) bool {
	return float64(len(m.issued)) < 1+m.currentDemand(now)*lifetime.Seconds()
}
