package assign

import (
	"math"
	"time"
)

// outlierLimit is the number of standard deviations at which the deviation of a reading is truncated before it enters
// the noise variance, so that a real change, such as one of the hot keys, does not inflate the estimate.
const outlierLimit = 3

// shrinkage is a James-Stein estimator: it estimates how much of the variation between partitions is sampling noise.
// Without it, partitions with a high load by chance would move first, and their new owners would become underloaded
// as the measured loads regress to the mean.
type shrinkage struct {
	// variance is the estimated noise variance of a single reading of a partition.
	variance float64
	// squaredWeights is the sum of the squared weights of the readings in an average. It scales variance to the noise
	// variance of the average.
	squaredWeights float64
	// signalRatio is the share of the variance between partitions that is not noise.
	signalRatio float64
}

// addReading updates the variance with meanSquare, the mean squared deviation of one reading of all partitions. The
// first reading has no deviation.
func (s *shrinkage) addReading(meanSquare, decay float64, first bool) {
	s.squaredWeights = decay*decay*s.squaredWeights + (1-decay)*(1-decay)
	if first {
		return
	}
	if s.variance == 0 {
		s.variance = meanSquare
		return
	}
	s.variance = decay*s.variance + (1-decay)*meanSquare
}

// maxSquaredDeviation returns the bound at which squared deviations are truncated, or false while the variance is
// unknown.
func (s *shrinkage) maxSquaredDeviation() (float64, bool) {
	return outlierLimit * outlierLimit * s.variance, s.variance > 0
}

// updateSignalRatio recomputes the signal ratio from the observed variance between the averages of the partitions. The
// averages need no normalization, because their common weight cancels out.
func (s *shrinkage) updateSignalRatio(observed float64) {
	if observed == 0 {
		s.signalRatio = 0
		return
	}
	s.signalRatio = min(1, max(0, 1-s.variance*s.squaredWeights/observed))
}

// standardError returns the standard error of an average after shrinkage.
func (s *shrinkage) standardError() float64 {
	return math.Sqrt(s.signalRatio * s.variance * s.squaredWeights)
}

// advancePartitions adds the pending work of the cell's partitions to their averages.
func (t *Tracker) advancePartitions(interval time.Duration) {
	decay := decayFactor(interval, t.smoothing.Partitions)
	first := t.weight.weight == 0
	limit, isKnown := t.noise.maxSquaredDeviation()
	deviations := 0.0
	for _, id := range t.partitions {
		reading := t.pending[id] / interval.Seconds()
		if !first {
			deviation := reading - t.rates[id]/t.weight.weight
			squared := deviation * deviation
			if isKnown {
				squared = min(squared, limit)
			}
			deviations += squared
		}
		t.rates[id] = decay*t.rates[id] + (1-decay)*reading
	}
	clear(t.pending)
	t.weight.Add(interval.Seconds(), interval, t.smoothing.Partitions)
	t.noise.addReading(deviations/float64(len(t.partitions)), decay, first)
	t.updateShrinkage()
}

// updateShrinkage recomputes the mean load of the partitions and the signal ratio.
func (t *Tracker) updateShrinkage() {
	sum := 0.0
	for _, id := range t.partitions {
		sum += t.rates[id]
	}
	t.mean = sum / float64(len(t.partitions))
	squares := 0.0
	for _, id := range t.partitions {
		squares += (t.rates[id] - t.mean) * (t.rates[id] - t.mean)
	}
	t.noise.updateSignalRatio(squares / float64(len(t.partitions)))
}
