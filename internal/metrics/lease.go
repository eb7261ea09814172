package metrics

import "time"

// LeaseKind is the kind of a lease that the gateway holds.
type LeaseKind string

const (
	// LeaseAuthority is the lease under which a gateway decides ownership in its cell.
	LeaseAuthority LeaseKind = "authority"
	// LeaseHome is the lease under which a gateway dispatches requests to the backend servers whose home it is.
	LeaseHome LeaseKind = "home"
)

// SetLeaseRemaining sets the time until a lease expires. Negative values are reported as 0.
func (m *Metrics) SetLeaseRemaining(lease LeaseKind, remaining time.Duration) {
	m.leaseRemaining.WithLabelValues(string(lease)).Set(max(remaining, 0).Seconds())
}

// CountLostLease counts a lease that expired although the gateway tried to keep it, and sets its remaining time to 0.
func (m *Metrics) CountLostLease(lease LeaseKind) {
	m.leasesLost.WithLabelValues(string(lease)).Inc()
	m.SetLeaseRemaining(lease, 0)
}
