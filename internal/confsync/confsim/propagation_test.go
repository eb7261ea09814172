package confsim

import (
	"flag"
	"testing"
	"time"
)

// bound is the time within which an accepted configuration is in force everywhere (I8).
const bound = 7 * time.Second

// changeInterval is the mean time between two of the 49,000 changes of a day.
const changeInterval = 24 * time.Hour / 49_000

var (
	changes = flag.Int("propagation.changes", 30, "number of changes for the measurement of propagation")
	cells   = flag.Int("propagation.cells", 10, "number of cells for the measurement of propagation")
)

// Guards against a relay that needs more than 7 s, with and without watches on the store. The default size is small;
// docs/notes/configuration.md gives the commands for the target size.
func TestPropagation(t *testing.T) {
	for name, noWatches := range map[string]bool{"with store": false, "without store": true} {
		t.Run(name, func(t *testing.T) {
			result, err := Propagate(PropagationOptions{
				Seed: 1, Cells: *cells, Changes: *changes, Interval: changeInterval, NoWatches: noWatches,
			})
			if err != nil {
				t.Fatal(err)
			}
			seconds := result.Duration.Seconds()
			perNode := seconds * float64(result.Hosts)
			t.Logf("%d hosts, %d changes in %v: p50 %v, p99 %v, max %v; "+
				"per node and second: heartbeats %.1f B, relay %.1f B, content %.1f B; "+
				"node with the most: heartbeats %.1f B, relay %.1f B, content %.1f B; "+
				"store calls per second: %.1f reads, %.2f writes",
				result.Hosts, len(result.Times), result.Duration.Round(time.Second),
				result.Quantile(0.5), result.Quantile(0.99), result.Quantile(1),
				float64(result.Traffic.HeartbeatBytes)/perNode,
				float64(result.Traffic.ExchangeBytes)/perNode, float64(result.Traffic.ContentBytes)/perNode,
				float64(result.Most.HeartbeatBytes)/seconds,
				float64(result.Most.ExchangeBytes)/seconds, float64(result.Most.ContentBytes)/seconds,
				float64(result.StoreCalls.Get)/seconds, float64(result.StoreCalls.CompareAndSwap)/seconds)
			if result.Quantile(1) > bound {
				t.Errorf("a change needed %v, bound %v", result.Quantile(1), bound)
			}
		})
	}
}
