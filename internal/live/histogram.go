package live

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is the longest duration that can be recorded, in microseconds.
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
	microsPerMilli           = 1000
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values out of range, and the value is clamped to the range.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// quantile returns the q-th percentile in milliseconds, with q between 0 and 100.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microsPerMilli
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / microsPerMilli }
