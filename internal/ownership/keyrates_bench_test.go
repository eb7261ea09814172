package ownership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkKeyRates measures what a plan needs before it is made, for all keys of a service.
func BenchmarkKeyRates(b *testing.B) {
	const keys = 65536
	random := rand.New(rand.NewPCG(1, 2))
	rates := NewKeyRates(keys)
	now := time.Duration(0)
	for b.Loop() {
		now += 300 * time.Millisecond
		for range 500 {
			rates.Add(random.IntN(keys), 1)
		}
		rates.Advance(now)
	}
}
