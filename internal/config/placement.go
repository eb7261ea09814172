package config

import (
	"cmp"
	"math"
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Placement maps each partition of a service to a cell.
type Placement struct {
	// Cells are the cells with servers of the service outside lost zones, by name.
	Cells []string
	// ByPartition holds an index into Cells for each partition. It is empty if there is no cell.
	ByPartition []uint16
}

// Cell returns the cell of a partition, or "" if no cell has a server of the service.
func (p *Placement) Cell(partition keyspace.Partition) string {
	if len(p.Cells) == 0 {
		return ""
	}
	return p.Cells[p.ByPartition[partition]]
}

// Place returns the placement of a keyed service. The share of each cell is exact within one partition of the weight
// of its servers. The placement is the stored one if it fits. Otherwise it is computed: each partition goes to the
// cell with the smallest score, as in weighted rendezvous hashing, and the weights are corrected until the shares are
// exact.
//
// The cost of the computation is that of one hash for each pair of partition and cell, so callers keep the result
// while cells and weights stay the same.
func (c *Config) Place(s *Service) *Placement {
	cells, weights := c.cellWeights(s)
	if len(cells) == 0 || s.Partitions == 0 {
		return &Placement{}
	}
	if stored, ok := c.storedPlacement(s.Name); ok {
		if placement := stored.decode(s.Partitions, cells, weights); placement != nil {
			return placement
		}
	}
	placer := newPlacer(s, cells, weights)
	placer.settle()
	placer.repair()
	return &Placement{Cells: cells, ByPartition: placer.chosen}
}

// cellWeights returns the cells of the service that are not lost, by name, and the sum of the weights of the
// servers of each.
func (c *Config) cellWeights(s *Service) ([]string, []float64) {
	byCell := make(map[string]float64)
	for _, server := range s.Servers {
		if !c.isLost(server.Zone) {
			byCell[server.Cell] += server.EffectiveWeight()
		}
	}
	cells := make([]string, 0, len(byCell))
	for cell := range byCell {
		cells = append(cells, cell)
	}
	slices.Sort(cells)
	weights := make([]float64, len(cells))
	for i, cell := range cells {
		weights[i] = byCell[cell]
	}
	return cells, weights
}

// quotas divides the partitions by weight and rounds down or up. Cells that hold more than the lower number are rounded
// up first, then those with the largest remainders. held can be nil.
func quotas(partitions int, weights []float64, held []int) []int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	shares := make([]int, len(weights))
	remainders := make([]float64, len(weights))
	order := make([]int, len(weights))
	left := partitions
	for i, weight := range weights {
		exact := float64(partitions) * (weight / total)
		shares[i] = int(math.Floor(exact))
		remainders[i] = exact - math.Floor(exact)
		order[i] = i
		left -= shares[i]
	}
	holdsMore := func(i int) int {
		if held != nil && held[i] > shares[i] && remainders[i] > 0 {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(holdsMore(b), holdsMore(a)), cmp.Compare(remainders[b], remainders[a]))
	})
	for i := range left {
		shares[order[i]]++
	}
	return shares
}

// EffectiveWeight returns the weight of the server, or 1 if none is set.
func (s Server) EffectiveWeight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

func (c *Config) isLost(zone string) bool {
	for _, z := range c.Zones {
		if z.Name == zone {
			return z.Lost
		}
	}
	return false
}
