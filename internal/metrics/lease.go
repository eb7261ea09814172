package metrics

import "time"

// Lease is the kind of a lease that the gateway holds.
type Lease string

const (
	LeaseAuthority Lease = "authority"
	LeaseHome      Lease = "home"
)

// LeaseRemaining sets the time until a lease expires. Negative values are reported as 0.
func (m *Metrics) LeaseRemaining(lease Lease, remaining time.Duration) {
	m.leaseRemaining.WithLabelValues(string(lease)).Set(max(remaining, 0).Seconds())
}

// LeaseLost counts a lease that expired although the gateway tried to keep it, and sets its remaining time to 0.
func (m *Metrics) LeaseLost(lease Lease) {
	m.leasesLost.WithLabelValues(string(lease)).Inc()
	m.LeaseRemaining(lease, 0)
}
