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
	blocks         []rateBlock
}

// rateBlock is how the rates of the keys of a block differ from the steady ones: each is multiplied by factor, and gets its part
// of risen by its recent rate.
type rateBlock struct {
	factor, risen, recent float64
}

var _ Load = (*KeyRates)(nil)

// NewKeyRates returns a meter for the given number of keys.
func NewKeyRates(keys int) *KeyRates {
	return &KeyRates{
		steady: NewRateMeter(keys, steadyHalfLife), recent: NewRateMeter(keys, recentHalfLife),
		blocks: make([]rateBlock, (keys+blockKeys-1)/blockKeys),
	}
}

// Advance decays the averages up to the current time.
func (r *KeyRates) Advance(now time.Duration) {
	r.steady.Advance(now)
	r.recent.Advance(now)
	for i := range r.blocks {
		r.blocks[i] = r.block(i)
	}
}

// block compares the recent with the steady rate of a block.
func (r *KeyRates) block(i int) rateBlock {
	steady, recent := 0.0, 0.0
	for key := i * blockKeys; key < min((i+1)*blockKeys, len(r.steady.counts)); key++ {
		steady += r.steady.Rate(key)
		recent += r.recent.Rate(key)
	}
	low, high := rateInterval(recent, r.recent.samplePeriod())
	switch {
	case steady > high:
		return rateBlock{factor: high / steady}
	case steady < low:
		return rateBlock{factor: 1, risen: low - steady, recent: recent}
	}
	return rateBlock{factor: 1}
}

// Add counts requests for a key. It ignores keys out of range.
func (r *KeyRates) Add(key, count int) {
	r.steady.Add(key, count)
	r.recent.Add(key, count)
}

// Rate implements Load. Requests that were added after the last call of Advance count from the next one on.
func (r *KeyRates) Rate(key int) float64 {
	block, recent := r.blocks[key/blockKeys], r.recent.Rate(key)
	rate := r.steady.Rate(key) * block.factor
	if block.risen > 0 {
		rate += block.risen * recent / block.recent
	}
	low, high := rateInterval(recent, r.recent.samplePeriod())
	return min(max(rate, low), high)
}

// rateInterval returns the bounds of the rates that are likely, given the rate that was measured over a time in seconds.
func rateInterval(measured, seconds float64) (low, high float64) {
	const z = rateDeviations
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
