package soak

import "time"

const (
	// minLimit and maxLimit bound the limits of servers, in requests a second.
	minLimit = 0.5
	maxLimit = 12
	// recoveryTime is how long after a fault a gateway may not know the limits of servers.
	recoveryTime = 3 * time.Second
	// limitSettleTime is the shortest time for which a server names a limit: the gateways learn it, and a window passes.
	limitSettleTime = 8 * time.Second
)

// limitRequests lets a server name a limit, and a lower one later, and then none.
func limitRequests(b *backend, limit float64, duration time.Duration) error {
	rate := b.options.Rate
	rate.Set(time.Now(), limit)
	time.Sleep(limitSettleTime)
	rate.Set(time.Now(), limit/2)
	time.Sleep(duration)
	rate.Set(time.Now(), noLimit)
	return nil
}

// excuse leaves the requests of a gateway out of the check of limits until a point in time, and forgets what servers have told
// it of themselves.
func (d *deployment) excuse(g *gateway, until time.Time) {
	for _, b := range d.backends {
		b.options.Rate.Excuse(g.name, until)
		b.options.Notices.Excuse(g.name)
	}
}

// checkLimits records the windows in which a server got more requests than its limit allows.
func (d *deployment) checkLimits() {
	for _, b := range d.backends {
		for _, excess := range b.options.Rate.Excesses() {
			d.checker.RecordExcess(b.options.ID, excess)
		}
	}
}
