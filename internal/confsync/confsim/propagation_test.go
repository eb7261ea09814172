package confsim

import (
	"flag"
	"testing"
	"time"
)

// maxPropagationTime bounds the time until an accepted configuration is in force on all gateways (invariant I8 in
// docs/design.md).
const maxPropagationTime = 7 * time.Second

// changeInterval is the mean time between changes at 49,000 changes per day.
const changeInterval = 24 * time.Hour / 49_000

var (
	changes = flag.Int("propagation.changes", 30, "number of changes for the measurement of propagation")
	cells   = flag.Int("propagation.cells", 10, "number of cells for the measurement of propagation")
)

// Guards against propagation that takes more than 7 s, with and without access to the store. The default size is small;
// docs/notes/configuration.md contains the commands for the target size.
func TestPropagation(t *testing.T) {
	for name, storeUnreachable := range map[string]bool{"with store": false, "without store": true} {
		t.Run(name, func(t *testing.T) {
			result, err := MeasurePropagation(PropagationOptions{
				Seed: 1, Cells: *cells, Changes: *changes, Interval: changeInterval, StoreUnreachable: storeUnreachable,
			})
			if err != nil {
				t.Fatal(err)
			}
			seconds := result.Duration.Seconds()
			gatewaySeconds := seconds * float64(result.Hosts)
			t.Logf("%d hosts, %d changes in %v: p50 %v, p99 %v, max %v; "+
				"per gateway and second: heartbeats %.1f B, exchanges and pulls %.1f B, content %.1f B; "+
				"gateway with the most: heartbeats %.1f B, exchanges and pulls %.1f B, content %.1f B; "+
				"store calls per second: %.1f reads, %.2f writes",
				result.Hosts, len(result.Times), result.Duration.Round(time.Second),
				result.Quantile(0.5), result.Quantile(0.99), result.Quantile(1),
				float64(result.Traffic.HeartbeatBytes)/gatewaySeconds,
				float64(result.Traffic.ExchangeBytes)/gatewaySeconds, float64(result.Traffic.ContentBytes)/gatewaySeconds,
				float64(result.Busiest.HeartbeatBytes)/seconds,
				float64(result.Busiest.ExchangeBytes)/seconds, float64(result.Busiest.ContentBytes)/seconds,
				float64(result.StoreCalls.Get)/seconds, float64(result.StoreCalls.CompareAndSwap)/seconds)
			if result.Quantile(1) > maxPropagationTime {
				t.Errorf("propagation of a change took %v, want at most %v", result.Quantile(1), maxPropagationTime)
			}
		})
	}
}
