package config

import (
	"slices"
	"strconv"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// PartitionMoves counts the partitions of one service that a revision moves to another cell.
type PartitionMoves struct {
	Service    string `json:"service"`
	Partitions int    `json:"partitions"`
	// Moved is the number of partitions that move to another cell.
	Moved int `json:"moved"`
	// MinMoves is the minimum number of moves by which each cell reaches its new number of partitions.
	MinMoves int `json:"least"`
}

func (m PartitionMoves) String() string {
	return "service " + m.Service + ": " + strconv.Itoa(m.Moved) + " of " + strconv.Itoa(m.Partitions) +
		" partitions move to another cell (least possible: " + strconv.Itoa(m.MinMoves) + ")"
}

// partitionMoves compares the placements of the sharded services that are in both configurations with the same number
// of partitions.
func (c *Config) partitionMoves(next *Config) []PartitionMoves {
	var changed []PartitionMoves
	for i := range next.Services {
		after := &next.Services[i]
		before, ok := c.Service(after.Name)
		if !ok || !before.Keyed || !after.Keyed || before.Partitions != after.Partitions {
			continue
		}
		if c.sameWeights(before, next, after) {
			continue
		}
		if moves := comparePlacements(after.Name, c.Place(before), c.placementAfter(next, after)); moves.Moved > 0 {
			changed = append(changed, moves)
		}
	}
	return changed
}

// placementAfter returns the placement that the service gets if next is accepted as the successor of c.
func (c *Config) placementAfter(next *Config, s *Service) *Placement {
	planned := *next
	planned.UpdatePlacements(c)
	return planned.Place(s)
}

// sameWeights reports whether the service has the same cells and weights in both configurations, which implies the same
// placement.
func (c *Config) sameWeights(before *Service, next *Config, after *Service) bool {
	cells, weights := c.cellWeights(before)
	otherCells, otherWeights := next.cellWeights(after)
	return slices.Equal(cells, otherCells) && slices.Equal(weights, otherWeights)
}

// comparePlacements counts the partitions whose cell differs, and the minimum of moves for the new number of partitions
// of each cell.
func comparePlacements(service string, before, after *Placement) PartitionMoves {
	moves := PartitionMoves{Service: service, Partitions: len(after.ByPartition)}
	netGain := make(map[string]int)
	for p := range after.ByPartition {
		from, to := before.Cell(keyspace.Partition(p)), after.Cell(keyspace.Partition(p))
		if from != to {
			moves.Moved++
		}
		netGain[to]++
		netGain[from]--
	}
	for _, n := range netGain {
		moves.MinMoves += max(n, 0)
	}
	return moves
}
