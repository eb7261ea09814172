package placing

import "time"

const (
	// reportWeight is the weight of a fresh report of a server's load against the estimate before.
	reportWeight = 0.6
	// reportHalfLife is how fast a report loses its meaning.
	reportHalfLife = 300 * time.Millisecond
)

// PeerLoad estimates the requests of other gateways at a server from the load that the server reports.
type PeerLoad struct {
	count float64
	at    time.Duration
	known bool
}

// Report takes the load that a server reported when this gateway had a number of requests there.
func (o *PeerLoad) Report(reported, own int, now time.Duration) {
	seen := float64(max(0, reported-own))
	if !o.known {
		o.count, o.known = seen, true
	} else {
		o.count += reportWeight * (seen - o.count)
	}
	o.at = now
}

// Estimate returns the requests of others, given their mean over all servers of the service.
func (o *PeerLoad) Estimate(now time.Duration, mean float64) float64 {
	if !o.known {
		return mean
	}
	age := float64(now-o.at) / float64(reportHalfLife)
	trust := 1 / (1 + age*age)
	return trust*o.count + (1-trust)*mean
}

// ReportedAt returns when the last report came; 0 before the first.
func (o *PeerLoad) ReportedAt() time.Duration { return o.at }

// LastEstimate returns the newest estimate without regard to its age.
func (o *PeerLoad) LastEstimate() float64 { return o.count }
