package controller

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/relay"
)

// Guards against an idle gateway that reports so rarely that the elected gateway closes the connection.
func TestIdleGatewayReports(t *testing.T) {
	now := time.Duration(0)
	c := New(Options{Clock: func() time.Duration { return now }, DataPlane: &testDataPlane{t: t}})
	c.reportInterval.Store(int64(maxReportInterval))
	collect := c.reportCollector()
	last := now
	for ; now < time.Minute; now += relay.ReportPollInterval {
		if collect() != nil {
			last = now
		}
		// The elected gateway waits for 3 s.
		if now-last > maxReportInterval+relay.ReportPollInterval {
			t.Fatalf("no report for %v", now-last)
		}
	}
}
