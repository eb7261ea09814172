package config

import (
	"cmp"
	"math"
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Placement assigns each partition of a service to a cell.
type Placement struct {
	// Cells lists, sorted by name, the cells that have servers of the service and are not in a lost zone.
	Cells []string
	// ByPartition holds an index into Cells for each partition. It is empty if Cells is empty.
	ByPartition []uint16
}

// Cell returns the cell of a partition, or "" if there is none.
func (p *Placement) Cell(partition keyspace.Partition) string {
	if len(p.Cells) == 0 {
		return ""
	}
	return p.Cells[p.ByPartition[partition]]
}

// Place returns the placement of a sharded service. The number of partitions of each cell is proportional to the total
// weight of its servers, to within one partition. Place returns the stored placement if it fits the cells and weights.
// Otherwise it computes one by weighted rendezvous hashing: each partition is assigned to the cell with the lowest
// score, and the score factors are corrected until each cell has its quota.
//
// The computation hashes each pair of partition and cell, so callers should cache the result while cells and weights
// stay the same.
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
	placer.correctScoreFactors()
	placer.meetQuotas()
	return &Placement{Cells: cells, ByPartition: placer.assigned}
}

// cellWeights returns the cells of the service outside lost zones, sorted by name, and the total weight of the servers
// of each.
func (c *Config) cellWeights(s *Service) ([]string, []float64) {
	byCell := make(map[string]float64)
	for _, server := range s.Servers {
		if !c.isZoneLost(server.Zone) {
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

// apportion returns the quota of each cell: its share of the partitions by weight, rounded down or up. The partitions
// left after rounding down go first to the cells whose current number of partitions exceeds the rounded-down share,
// which saves moves, then to those with the largest remainders. current may be nil.
func apportion(partitions int, weights []float64, current []int) []int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	quotas := make([]int, len(weights))
	remainders := make([]float64, len(weights))
	order := make([]int, len(weights))
	remaining := partitions
	for i, weight := range weights {
		exact := float64(partitions) * (weight / total)
		quotas[i] = int(math.Floor(exact))
		remainders[i] = exact - math.Floor(exact)
		order[i] = i
		remaining -= quotas[i]
	}
	exceedsFloor := func(i int) int {
		if current != nil && current[i] > quotas[i] && remainders[i] > 0 {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(exceedsFloor(b), exceedsFloor(a)), cmp.Compare(remainders[b], remainders[a]))
	})
	for i := range remaining {
		quotas[order[i]]++
	}
	return quotas
}

// EffectiveWeight returns the weight of the server, or 1 if none is set.
func (s Server) EffectiveWeight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

func (c *Config) isZoneLost(zone string) bool {
	for _, z := range c.Zones {
		if z.Name == zone {
			return z.Lost
		}
	}
	return false
}
