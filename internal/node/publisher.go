package node

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/metrics"
)

// publisher passes the state of the control loop to the dispatchers and the request path.
type publisher struct {
	host        string
	dispatchers *dispatchers
	gateway     *gateway.Gateway
	metrics     *metrics.Metrics
	// Only the goroutine of the control loop uses table and leaseEnd.
	table    *gateway.RoutingTable
	leaseEnd time.Duration
}

// SetConfig builds the routing table of a new configuration. SetSnapshot installs it.
func (p *publisher) SetConfig(c *config.Config) {
	snapshot := &cell.Snapshot{}
	if p.table != nil {
		snapshot = p.table.Snapshot
	}
	p.dispatchers.Configure(c)
	p.metrics.SetRevision(c.Revision)
	p.table = gateway.NewRoutingTable(p.host, c, snapshot)
}

// SetSnapshot installs a snapshot. It updates the dispatchers before the routing table, so that a request that is routed
// to this gateway finds its dispatcher.
func (p *publisher) SetSnapshot(s *cell.Snapshot) {
	if p.table == nil {
		return
	}
	p.updateLeaseMetrics(s)
	p.dispatchers.Apply(s)
	p.table = p.table.WithSnapshot(s)
	p.gateway.SetRoutingTable(p.table)
}
