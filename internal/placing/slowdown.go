package placing

import "time"

const (
	// slowdownHalfLife is the age at which a report of the run time factor counts half. The factor changes many times a
	// second.
	slowdownHalfLife = 200 * time.Millisecond
	// slowdownSmoothing is the weight of a new report in the mean.
	slowdownSmoothing = 0.1
)

// Slowdown estimates how much longer than on average requests take on a server at the moment, from the run time factor that
// the server reports. The average is part of the measured run times already. The zero value is ready to use.
type Slowdown struct {
	factor, mean float64
	reportedAt   time.Duration
}

// Report records a factor that the server reports: 1 means that requests take as long as usual.
func (s *Slowdown) Report(factor float64, now time.Duration) {
	if s.mean == 0 {
		s.mean = 1
	}
	s.mean += slowdownSmoothing * (factor - s.mean)
	s.factor, s.reportedAt = factor, now
}

// Estimate returns the run time relative to the average. It approaches 1 as the last report ages.
func (s *Slowdown) Estimate(now time.Duration) float64 {
	if s.mean == 0 {
		return 1
	}
	age := float64(now-s.reportedAt) / float64(slowdownHalfLife)
	return 1 + (s.factor/s.mean-1)/(1+age*age)
}
