package metrics

import "time"

// Lease is a kind of lease.
type Lease string

// Kinds of leases.
const (
	LeaseAuthority Lease = "authority"
	LeaseHome      Lease = "home"
)

// LeaseRemaining tells the time until a lease ends.
func (m *Metrics) LeaseRemaining(lease Lease, remaining time.Duration) {
	m.leaseSeconds.WithLabelValues(string(lease)).Set(max(remaining, 0).Seconds())
}

// LeaseLost counts a lease that ended although the gateway wanted to keep it.
func (m *Metrics) LeaseLost(lease Lease) {
	m.leasesLost.WithLabelValues(string(lease)).Inc()
	m.LeaseRemaining(lease, 0)
}
