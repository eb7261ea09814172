package ownership

import (
	"math"
	"time"
)

const (
	// steadyHalfLife is the half-life of the averages that balance the load. At a few requests a second a server, a shorter
	// one tells chance from load badly: keys would move all the time.
	steadyHalfLife = 4 * time.Second
	// recentHalfLife is the half-life of the averages that show a key whose rate has changed much, so that a hot key moves
	// soon.
	recentHalfLife = 800 * time.Millisecond
	// rateDeviations is the number of standard deviations by which a recent rate has to differ from a steady one before it
	// counts.
	rateDeviations = 3
)

// blockKeys is the number of adjacent keys that are also looked at together. Busy keys are close to one another, and a change
// that chance could explain at each of them shows in their sum.
const blockKeys = 64

// KeyRates measures the request rate of each key: a steady average, within what the recent requests leave possible for the key
// and for its block.
type KeyRates struct {
	steady, recent *RateMeter
	// rates are the rates of the keys as of the last call of Advance.
	rates []float64
}

var _ Load = (*KeyRates)(nil)

// NewKeyRates returns a meter for the given number of keys.
func NewKeyRates(keys int) *KeyRates {
	return &KeyRates{
		steady: NewRateMeter(keys, steadyHalfLife), recent: NewRateMeter(keys, recentHalfLife), rates: make([]float64, keys),
	}
}

// Add counts requests for a key. It ignores keys out of range.
func (r *KeyRates) Add(key, count int) {
	r.steady.Add(key, count)
	r.recent.Add(key, count)
}

// Rate implements Load. Requests that were added after the last call of Advance count from the next one on.
func (r *KeyRates) Rate(key int) float64 { return r.rates[key] }

// Advance decays the averages up to the current time and computes the rates. It takes time in proportion to the number of keys.
func (r *KeyRates) Advance(now time.Duration) {
	r.steady.Advance(now)
	r.recent.Advance(now)
	scale := rateScale{
		steady: 1 / r.steady.observedSeconds(), recent: 1 / r.recent.observedSeconds(), seconds: r.recent.samplePeriod(),
	}
	for first := 0; first < len(r.rates); first += blockKeys {
		end := min(first+blockKeys, len(r.rates))
		scale.blockRates(r.rates[first:end], r.steady.counts[first:end], r.recent.counts[first:end])
	}
}

// rateScale holds the factors from counts to rates, and the time over which the recent requests were counted.
type rateScale struct{ steady, recent, seconds float64 }

// blockRates computes the rates of the keys of a block from their counts.
func (s rateScale) blockRates(rates, steadyCounts, recentCounts []float64) {
	steady, recent := s.steady*sum(steadyCounts), s.recent*sum(recentCounts)
	low, high := rateInterval(recent, s.seconds)
	factor, risen := 1.0, 0.0
	switch {
	case steady > high:
		factor = high / steady
	case steady < low:
		// The rise is divided by the recent rates.
		risen = (low - steady) / recent
	}
	_, highestOfIdle := rateInterval(0, s.seconds)
	for i := range rates {
		keyRecent := s.recent * recentCounts[i]
		rates[i] = factor*s.steady*steadyCounts[i] + risen*keyRecent
		if keyRecent == 0 {
			rates[i] = min(rates[i], highestOfIdle)
			continue
		}
		keyLow, keyHigh := rateInterval(keyRecent, s.seconds)
		rates[i] = min(max(rates[i], keyLow), keyHigh)
	}
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// rateInterval returns the bounds of the rates that are likely, given the rate that was measured over a time in seconds.
func rateInterval(measured, seconds float64) (low, high float64) {
	const z = rateDeviations
	if measured == 0 {
		return 0, z * z / seconds
	}
	center := measured + z*z/(2*seconds)
	width := z * math.Sqrt(measured/seconds+z*z/(4*seconds*seconds))
	return max(0, center-width), center + width
}

// steadyDeviation returns the standard deviation of a rate that was measured as a steady average.
func steadyDeviation(rate float64) float64 {
	return math.Sqrt(rate / averagedSeconds(steadyHalfLife))
}

// averagedSeconds returns the time over which requests would have to be counted to give a rate as exact as a moving average
// with a half-life.
func averagedSeconds(halfLife time.Duration) float64 { return 2 * halfLife.Seconds() / math.Ln2 }
