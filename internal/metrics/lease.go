package metrics

import "time"

// LeaseKind is a kind of lease.
type LeaseKind string

// Kinds of leases.
const (
	LeaseAuthority LeaseKind = "authority"
	LeaseHome      LeaseKind = "home"
)

// SetLeaseRemaining tells the time until a lease ends.
func (m *Metrics) SetLeaseRemaining(lease LeaseKind, remaining time.Duration) {
	m.leaseSeconds.WithLabelValues(string(lease)).Set(max(remaining, 0).Seconds())
}

// CountLostLease counts a lease that ended although the gateway wanted to keep it.
func (m *Metrics) CountLostLease(lease LeaseKind) {
	m.leasesLost.WithLabelValues(string(lease)).Inc()
	m.SetLeaseRemaining(lease, 0)
}
