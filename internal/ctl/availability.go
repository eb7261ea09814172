package ctl

import (
	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

func allHostsUp(config.Host) bool { return true }

// hostAvailability returns which hosts are available according to the gateway. Hosts that the gateway does not report,
// or all hosts if its status cannot be fetched, count as available, so that no hazard is missed.
func (c *client) hostAvailability() config.HostResponds {
	var status admin.Status
	if err := c.get("/status", &status); err != nil {
		return allHostsUp
	}
	down := make(map[string]bool)
	for _, host := range status.Hosts {
		down[host.Name] = host.State == admin.StateDown
	}
	return func(host config.Host) bool { return !down[host.Name] }
}
