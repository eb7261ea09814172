package node

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/metrics"
)

// publisher hands the state of the control goroutine to the traffic.
type publisher struct {
	host    string
	homes   *homes
	gateway *gateway.Gateway
	metrics *metrics.Metrics
	// view and lease are used by the control goroutine only.
	view  *gateway.RoutingTable
	lease time.Duration
}

// Configured computes the routing of a new configuration.
func (p *publisher) Configured(c *config.Config) {
	snapshot := &cell.Snapshot{}
	if p.view != nil {
		snapshot = p.view.Snapshot
	}
	p.homes.Configure(c)
	p.metrics.SetRevision(c.Revision)
	p.view = gateway.NewRoutingTable(p.host, c, snapshot)
}

// Published applies the snapshot to the homes first, so that a request that is routed here finds its dispatcher.
func (p *publisher) Published(s *cell.Snapshot) {
	if p.view == nil {
		return
	}
	p.measureLease(s)
	p.homes.Apply(s)
	p.view = p.view.WithSnapshot(s)
	p.gateway.SetRoutingTable(p.view)
}
