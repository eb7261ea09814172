package ownership

import "time"

// Settings are the times of an assigner.
type Settings struct {
	// Host is the name of this host.
	Host string
	// Keys is the number of keys of the service.
	Keys int
	// GrantDuration is how long a grant lasts.
	GrantDuration time.Duration
	// RenewInterval is the time between two renewals of a grant.
	RenewInterval time.Duration
	// RetryInterval is the time until an order without an answer is sent again.
	RetryInterval time.Duration
	// OrderTimeout bounds the time in which an order may still arrive: its connection is reset afterwards.
	OrderTimeout time.Duration
	// PredecessorGrace is how long an earlier assigner may go on renewing after another one was elected.
	PredecessorGrace time.Duration
}

// clockDrift is the share by which the clock of a backend server may run slow.
const clockDrift = 0.02

// heldFor returns how long a backend server may keep a grant, by a correct clock.
func (s Settings) heldFor() time.Duration {
	return s.GrantDuration + time.Duration(float64(s.GrantDuration)*clockDrift) + holdMargin
}

// fenceHold is how long a grant lasts that only makes a former holder refuse earlier grants.
const fenceHold = 200 * time.Millisecond

// fenceSpan returns how long after it was sent such a grant may be in force.
func (s Settings) fenceSpan() time.Duration {
	return s.OrderTimeout + fenceHold + time.Duration(float64(fenceHold)*clockDrift) + holdMargin
}

// holdMargin covers the granularity of timers on both sides.
const holdMargin = 50 * time.Millisecond
