package cell

import (
	"strings"
	"testing"
	"time"
)

// BenchmarkLossGap measures, in simulated time, the longest interval in which any key is not served after a loss. It
// reports the greatest of 50 seeds; ns/op is meaningless.
func BenchmarkLossGap(b *testing.B) {
	for _, parts := range []string{"holder", "successor", "arbiter", "home", "server", "store+holder", "store+home", "paused-holder", "isolated-holder"} {
		b.Run(parts, func(b *testing.B) {
			longest := time.Duration(0)
			for range b.N {
				for seed := range uint64(50) {
					w := newSimulation(seed+1, testConfig(5, 0), faults{})
					w.run(6 * time.Second)
					for _, part := range strings.Split(parts, "+") {
						w.lose(part, w.hostOf(part))
					}
					longest = max(longest, w.longestGap(3*time.Second))
				}
			}
			b.ReportMetric(float64(longest)/float64(ms), "gap-ms")
		})
	}
}
