package node

import (
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
)

// publisher hands the state of the control goroutine to the traffic.
type publisher struct {
	host    string
	homes   *homes
	gateway *gateway.Gateway
	// view is used by the control goroutine only.
	view *gateway.View
}

// Configured computes the routing of a new configuration.
func (p *publisher) Configured(c *config.Config) {
	snapshot := &cell.Snapshot{}
	if p.view != nil {
		snapshot = p.view.Snapshot
	}
	p.homes.Configure(c)
	p.view = gateway.NewView(p.host, c, snapshot)
}

// Published applies the snapshot to the homes first, so that a request that is routed here finds its dispatcher.
func (p *publisher) Published(s *cell.Snapshot) {
	if p.view == nil {
		return
	}
	p.homes.Apply(s)
	p.view = p.view.WithSnapshot(s)
	p.gateway.SetView(p.view)
}
