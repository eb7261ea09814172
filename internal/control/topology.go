package control

import (
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

func confsyncCells(c *config.Config) []confsync.Cell {
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

// buildTopology returns the topology as seen by the host self. In each availability zone, the holder and the successor
// of the first cell by name watch the store.
func buildTopology(self string, c *config.Config, cells []confsync.Cell, roles cellRoles) confsync.Topology {
	t := confsync.Topology{Holder: roles.holder, Cells: cells}
	host, ok := c.Host(self)
	if !ok {
		return t
	}
	t.Cell = host.Cell
	isHolderOrSuccessor := self == roles.holder || self == roles.successor
	t.Watcher = isHolderOrSuccessor && firstCellOfZone(c, host.Zone) == host.Cell
	return t
}

func firstCellOfZone(c *config.Config, zone string) string {
	var names []string
	for _, host := range c.Hosts {
		if host.Zone == zone {
			names = append(names, host.Cell)
		}
	}
	return slices.Min(names)
}
