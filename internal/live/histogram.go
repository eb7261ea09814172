package live

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest recorded time, in microseconds.
	histogramMax    = 60_000_000
	histogramDigits = 3
	microsPerMilli  = 1000
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func add(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the bounds, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// quantile returns a quantile between 0 and 100 in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microsPerMilli
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / microsPerMilli }
