package assign

import (
	"math"
	"time"
)

// noiseCut bounds how much one reading counts as noise, in standard deviations, so that a change of the hot keys
// does not pass for noise.
const noiseCut = 3

// shrinkage estimates how much of the difference between partitions is noise (James-Stein). A partition that looks
// heavy by chance would otherwise be the first to move, and its new owner would soon have too little.
type shrinkage struct {
	// variance is the variance of one reading of a typical partition.
	variance float64
	// squares is the sum of the squared weights of the readings in an average.
	squares float64
	// signal is the share of the differences between partitions that is not noise.
	signal float64
}

// add takes the mean of the squared deviations of one reading into the variance. The first reading has none.
func (s *shrinkage) add(mean, keep float64, first bool) {
	s.squares = keep*keep*s.squares + (1-keep)*(1-keep)
	if first {
		return
	}
	if s.variance == 0 {
		s.variance = mean
		return
	}
	s.variance = keep*s.variance + (1-keep)*mean
}

// limit returns the greatest squared deviation that counts as noise.
func (s *shrinkage) limit() (float64, bool) {
	return noiseCut * noiseCut * s.variance, s.variance > 0
}

// update recomputes the signal from the variance between the averages of the partitions. The weight of the averages
// cancels out.
func (s *shrinkage) update(observed float64) {
	if observed == 0 {
		s.signal = 0
		return
	}
	s.signal = min(1, max(0, 1-s.variance*s.squares/observed))
}

// standardError returns the standard error of an average after the noise was left out.
func (s *shrinkage) standardError() float64 {
	return math.Sqrt(s.signal * s.variance * s.squares)
}

// advancePartitions takes the pending work of the cell's partitions into their averages.
func (t *Tracker) advancePartitions(interval time.Duration) {
	keep := keepOf(interval, t.smoothing.Partitions)
	first := t.weight.weight == 0
	limit, limited := t.shrink.limit()
	deviations := 0.0
	for _, id := range t.partitions {
		reading := t.pending[id] / interval.Seconds()
		if !first {
			deviation := reading - t.rates[id]/t.weight.weight
			squared := deviation * deviation
			if limited {
				squared = min(squared, limit)
			}
			deviations += squared
		}
		t.rates[id] = keep*t.rates[id] + (1-keep)*reading
	}
	clear(t.pending)
	t.weight.Add(interval.Seconds(), interval, t.smoothing.Partitions)
	t.shrink.add(deviations/float64(len(t.partitions)), keep, first)
	t.compare()
}

// compare recomputes the mean of the partitions and how much of their differences is not noise.
func (t *Tracker) compare() {
	sum := 0.0
	for _, id := range t.partitions {
		sum += t.rates[id]
	}
	t.mean = sum / float64(len(t.partitions))
	squares := 0.0
	for _, id := range t.partitions {
		squares += (t.rates[id] - t.mean) * (t.rates[id] - t.mean)
	}
	t.shrink.update(squares / float64(len(t.partitions)))
}
