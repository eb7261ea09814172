package ctl

import (
	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

func everyHost(config.Host) bool { return true }

// answers returns which hosts answer according to the gateway. A host without a report counts as one that answers.
func (c *client) answers() config.HostResponds {
	var status admin.Status
	if err := c.get("/status", &status); err != nil {
		return everyHost
	}
	down := make(map[string]bool)
	for _, host := range status.Hosts {
		down[host.Name] = host.State == admin.StateDown
	}
	return func(host config.Host) bool { return !down[host.Name] }
}
