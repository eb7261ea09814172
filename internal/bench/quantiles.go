package bench

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// quantilesOf returns the mean, the quantiles and the maximum of values.
func quantilesOf(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	sum := 0.0
	for _, value := range sorted {
		sum += value
	}
	at := func(q float64) float64 {
		return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
	}
	return Quantiles{Mean: sum / float64(len(sorted)), P50: at(0.5), P99: at(0.99), Max: sorted[len(sorted)-1]}
}

// shareAbove returns the share of the values that exceed the limit.
func shareAbove(values []float64, limit float64) float64 {
	above := 0
	for _, value := range values {
		if value > limit {
			above++
		}
	}
	return float64(above) / float64(max(1, len(values)))
}

const (
	// minLatencyMicros and maxLatencyMicros bound the histograms. Values outside the bounds are clamped.
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
	microsPerMilli           = 1000
)

// latencyHistogram records durations in microseconds.
type latencyHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)}
}

// record adds a duration, given in seconds.
func (h latencyHistogram) record(seconds float64) {
	micros := min(max(int64(seconds*1e6), minLatencyMicros), maxLatencyMicros)
	// RecordValue fails only for values outside the bounds.
	_ = h.histogram.RecordValue(micros)
}

// quantileMillis returns the value at a percentile between 0 and 100, in milliseconds.
func (h latencyHistogram) quantileMillis(quantile float64) float64 {
	return float64(h.histogram.ValueAtQuantile(quantile)) / microsPerMilli
}
