package control

import (
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

func topologyCells(c *config.Config) []confsync.Cell {
	cells := make([]confsync.Cell, 0)
	for _, name := range c.Cells() {
		entry := confsync.Cell{Name: name}
		for _, host := range c.CellHosts(name) {
			entry.Hosts = append(entry.Hosts, host.Name)
		}
		cells = append(cells, entry)
	}
	return cells
}

// topology returns the place of a host. Watchers are the holder and the successor of the zone's first cell by name.
func topology(self string, c *config.Config, cells []confsync.Cell, role topologyRole) confsync.Topology {
	t := confsync.Topology{Holder: role.holder, Cells: cells}
	host, ok := c.Host(self)
	if !ok {
		return t
	}
	t.Cell = host.Cell
	isPair := self == role.holder || self == role.successor
	t.Watcher = isPair && firstCell(c, host.Zone) == host.Cell
	return t
}

func firstCell(c *config.Config, zone string) string {
	var names []string
	for _, host := range c.Hosts {
		if host.Zone == zone {
			names = append(names, host.Cell)
		}
	}
	return slices.Min(names)
}
