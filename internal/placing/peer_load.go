package placing

import "time"

const (
	// reportSmoothing is the weight of a new load report against the previous estimate.
	reportSmoothing = 0.6
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 300 * time.Millisecond
)

// PeerLoad estimates the number of other gateways' requests at a server from the load that the server reports.
type PeerLoad struct {
	requests   float64
	reportedAt time.Duration
	hasReport  bool
}

// Report records the load reported by the server. own is the number of this gateway's requests at the server at
// that time; they are subtracted.
func (p *PeerLoad) Report(reported, own int, now time.Duration) {
	observed := float64(max(0, reported-own))
	if !p.hasReport {
		p.requests, p.hasReport = observed, true
	} else {
		p.requests += reportSmoothing * (observed - p.requests)
	}
	p.reportedAt = now
}

// Estimate returns the estimated number of requests. mean is the mean over all servers of the service; the
// estimate approaches it as the last report ages.
func (p *PeerLoad) Estimate(now time.Duration, mean float64) float64 {
	if !p.hasReport {
		return mean
	}
	age := float64(now-p.reportedAt) / float64(reportHalfLife)
	confidence := 1 / (1 + age*age)
	return confidence*p.requests + (1-confidence)*mean
}

// ReportedAt returns the time of the last report, or 0 if there was none.
func (p *PeerLoad) ReportedAt() time.Duration { return p.reportedAt }

// LastEstimate returns the estimate at the time of the last report.
func (p *PeerLoad) LastEstimate() float64 { return p.requests }
