package ownership

import "time"

// Settings holds the parameters of an assigner.
type Settings struct {
	// Host is the name of the host of this gateway.
	Host string
	// Keys is the number of keys of the service.
	Keys int
	// GrantDuration is the duration of a grant.
	GrantDuration time.Duration
	// RenewInterval is the interval between renewals of a grant.
	RenewInterval time.Duration
	// RetryInterval is the delay before an order that failed or has an unknown outcome is sent again.
	RetryInterval time.Duration
	// OrderTimeout limits the time from sending an order until it arrives. Its connection is reset afterwards.
	OrderTimeout time.Duration
	// OrderLifetime limits the time after the end of a process in which an order that it has sent may still arrive: the network may
	// hold the order back, and a process that was killed may not reset its connections.
	OrderLifetime time.Duration
	// PredecessorGrace is how long an earlier assigner may go on renewing grants after another gateway was elected.
	PredecessorGrace time.Duration
}

// maxClockDrift is the fraction by which the clock of a backend server may run slow.
const maxClockDrift = 0.02

// maxHold returns how long, by an accurate clock, a backend server may keep a grant after its arrival.
func (s Settings) maxHold() time.Duration {
	return longestHold(s.GrantDuration)
}

// longestHold returns how long, by an accurate clock, a backend server may keep a grant of some duration after its arrival.
func longestHold(duration time.Duration) time.Duration {
	return duration + time.Duration(float64(duration)*maxClockDrift) + timerMargin
}

// fenceDuration is the duration of a fencing grant, which only serves to make a former holder refuse earlier grants.
const fenceDuration = 200 * time.Millisecond

// maxFenceDuration returns the maximum time from sending a fencing grant until it expires.
func (s Settings) maxFenceDuration() time.Duration {
	return s.OrderTimeout + longestHold(fenceDuration)
}

// timerMargin allows for the granularity of timers on both sides.
const timerMargin = 50 * time.Millisecond
