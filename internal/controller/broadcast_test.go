package controller

import (
	"testing"
	"time"
)

// Guards against an elected gateway that spends too much processor time on reports, and against reports that are older
// than the run time of a request, both for current deployments and for larger ones.
func TestReportInterval(t *testing.T) {
	cases := []struct {
		gateways int
		cores    float64
		runTime  time.Duration
		max      time.Duration
	}{
		{10, 0.32, 0, 50 * time.Millisecond},
		{10, 0.32, 60 * time.Millisecond, 50 * time.Millisecond},
		{75, 0.8, 250 * time.Millisecond, 100 * time.Millisecond},
		{75, 0.8, 600 * time.Millisecond, 200 * time.Millisecond},
		{75, 0.16, 250 * time.Millisecond, 500 * time.Millisecond},
		{11000, 0.8, 250 * time.Millisecond, maxReportInterval},
	}
	for _, c := range cases {
		interval := reportInterval(c.gateways, c.cores, c.runTime)
		if interval > c.max || interval < minReportInterval {
			t.Errorf("%d gateways, %v cores: every %v, want at most %v", c.gateways, c.cores, interval, c.max)
		}
		if messages := float64(2*c.gateways) / interval.Seconds(); interval < maxReportInterval && messages > 1.01*messageRatePerCore*c.cores {
			t.Errorf("%d gateways, %v cores: %.0f messages a second", c.gateways, c.cores, messages)
		}
	}
}
