package controller

import (
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// applyQuotaReports passes the reports of a gateway on the rates of backend servers to the allocator.
func (c *Controller) applyQuotaReports(host string, messages []*wire.QuotaReport) {
	now := c.Clock()
	for _, report := range relay.DecodeQuotaReports(messages, now) {
		c.allocator.Report(host, report, now)
	}
}

// allocateQuotas divides the rates of backend servers that limit them among this gateway and the connected ones, and
// tells each its part.
func (c *Controller) allocateQuotas(now time.Duration) {
	for _, report := range c.DataPlane.QuotaReports() {
		c.allocator.Report(c.Host, report, now)
	}
	if c.allocator.Empty() {
		return
	}
	hosts := append(c.server.Hosts(), c.Host)
	slices.Sort(hosts)
	grants := c.allocator.Allocate(slices.Compact(hosts), c.gateways.Value(now), now)
	c.DataPlane.SetQuotas(grants[c.Host])
	delete(grants, c.Host)
	for host, part := range grants {
		message, err := c.encode(&wire.RelayDown{Quotas: relay.EncodeQuotaGrants(part, now)})
		if err != nil {
			c.Log.WithError(err).Error("failed to encode quotas; the gateway uses its own share of each limit")
			continue
		}
		c.server.SendTo(host, message)
	}
}
