package questionnaire

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// minCellCount returns the smallest number of cells for a zone with the given number of hosts.
func minCellCount(hosts int) int {
	return (hosts + config.MaxCellHosts - 1) / config.MaxCellHosts
}

func (h HostsAnswer) cellCount() int {
	if h.Cells > 0 {
		return h.Cells
	}
	return minCellCount(h.Count)
}

// maxCellSize returns the number of hosts in the largest cell of the zone, including those in Except.
func (h HostsAnswer) maxCellSize() int {
	cells := h.cellCount()
	return (h.Count + cells - 1) / cells
}

func (h HostsAnswer) hostName(index int) string { return indexedName(h.Zone, "h", index) }

// cellName returns the name of the cell with the given zero-based number.
func (h HostsAnswer) cellName(cell int) string { return indexedName(h.Zone, "c", cell) }

// cellOfHost returns the name of the cell of a host. Hosts are assigned to cells round-robin, so that adding a host
// moves no other host as long as the number of cells stays the same.
func (h HostsAnswer) cellOfHost(index int) string { return h.cellName(index % h.cellCount()) }

// cellSizes returns the number of hosts in each cell, not counting those in Except.
func (h HostsAnswer) cellSizes() []int {
	sizes := make([]int, h.cellCount())
	for i := range h.Count {
		if !slices.Contains(h.Except, h.hostName(i)) {
			sizes[i%len(sizes)]++
		}
	}
	return sizes
}

// rackOfHost returns the rack of a host, or "" if the questionnaire gives none.
func (h HostsAnswer) rackOfHost(index int) string {
	switch len(h.Racks) {
	case 0:
		return ""
	case 1:
		return h.Racks[0]
	default:
		return h.Racks[index]
	}
}

func (s ServersAnswer) serverName(index int) string {
	return indexedName(s.Service+"-"+s.Zone, "s", index)
}

// weightOfServer returns the weight of a backend server; the default is 1.
func (s ServersAnswer) weightOfServer(index int) float64 {
	switch len(s.Weights) {
	case 0:
		return 1
	case 1:
		return s.Weights[0]
	default:
		return s.Weights[index]
	}
}

// cellNumberOfServer returns the zero-based cell number of a backend server in a zone with the given number of cells.
// Servers are assigned to cells round-robin. The first cell depends on a hash of the service name, which spreads
// services with few servers over the cells.
func (s ServersAnswer) cellNumberOfServer(index, cellCount int) int {
	first := xxhash.Sum64String(s.Service) % uint64(cellCount)
	return int((first + uint64(index)) % uint64(cellCount))
}
