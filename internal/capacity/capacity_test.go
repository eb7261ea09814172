package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// Guards against keys that go to servers by more than these can run: slow ones, ones that name a limit, and ones that start
// slowly, whose rate counts even if their slots would allow more.
func TestEstimate(t *testing.T) {
	measured := func(runTime time.Duration) relay.RunTime { return relay.RunTime{Mean: runTime, Measurements: 20} }
	const fast = 100 * time.Millisecond
	servers := []Server{
		{Slots: 4, RunTime: measured(fast)},
		{Slots: 4, RunTime: measured(4 * fast)},
		{Slots: 4, RunTime: relay.RunTime{Mean: 9 * fast, Measurements: 1}},
		{Slots: 4, RunTime: measured(fast), Limit: 7, Limited: true},
		{Slots: 4, RunTime: measured(fast), WarmsUp: true},
	}
	for rate, want := range map[float64][]float64{0: {40, 10, 4 / 0.175, 7, 20}, 5.6: {40, 10, 4 / 0.175, 7, 5.6}} {
		got := Estimate(servers, routing.SlowStart{Rate: rate})
		for i := range want {
			if math.Abs(got[i]-want[i]) > 1e-6 {
				t.Errorf("rate %v, server %d: %v, want %v", rate, i, got[i], want[i])
			}
		}
	}
	if got := Estimate([]Server{{Slots: 1}}, routing.SlowStart{}); got[0] != 10 {
		t.Errorf("%v without measurements", got)
	}
}
