package questionnaire

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// cellCount returns the least number of cells for the hosts of a zone.
func cellCount(hosts int) int {
	return (hosts + config.MaxCellHosts - 1) / config.MaxCellHosts
}

// cells returns the number of cells of the zone.
func (h HostsAnswer) cells() int {
	if h.Cells > 0 {
		return h.Cells
	}
	return cellCount(h.Count)
}

// largestCell returns the number of hosts in the largest cell.
func (h HostsAnswer) largestCell() int {
	cells := h.cells()
	return (h.Count + cells - 1) / cells
}

// name returns the name of the host with the given index.
func (h HostsAnswer) name(index int) string { return indexedName(h.Zone, "h", index) }

// cellName returns the name of the cell with the given number.
func (h HostsAnswer) cellName(cell int) string { return indexedName(h.Zone, "c", cell) }

// cell returns the cell of a host. Hosts are dealt out in turn, so that adding one moves no other host while
// the number of cells stays the same.
func (h HostsAnswer) cell(index int) string { return h.cellName(index % h.cells()) }

// cellSizes returns the number of hosts of each cell.
func (h HostsAnswer) cellSizes() []int {
	sizes := make([]int, h.cells())
	for i := range h.Count {
		if !slices.Contains(h.Except, h.name(i)) {
			sizes[i%len(sizes)]++
		}
	}
	return sizes
}

// rack returns the rack of a host, or "".
func (h HostsAnswer) rack(index int) string {
	switch len(h.Racks) {
	case 0:
		return ""
	case 1:
		return h.Racks[0]
	default:
		return h.Racks[index]
	}
}

// name returns the name of the backend server with the given index.
func (s ServersAnswer) name(index int) string { return indexedName(s.Service+"-"+s.Zone, "s", index) }

// weight returns the weight of a backend server.
func (s ServersAnswer) weight(index int) float64 {
	switch len(s.Weights) {
	case 0:
		return 1
	case 1:
		return s.Weights[0]
	default:
		return s.Weights[index]
	}
}

// cell returns the number of the cell of a backend server among the given count of cells. Servers are dealt
// out in turn. Each service starts at another cell, so that services with few servers do not share one.
func (s ServersAnswer) cell(index, cells int) int {
	start := xxhash.Sum64String(s.Service) % uint64(cells)
	return int((start + uint64(index)) % uint64(cells))
}
