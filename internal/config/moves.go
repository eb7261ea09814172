package config

import (
	"slices"
	"strconv"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// PartitionMoves counts the partitions of a service that a revision moves to another cell.
type PartitionMoves struct {
	Service    string `json:"service"`
	Partitions int    `json:"partitions"`
	// Moved is the number of partitions that change their cell.
	Moved int `json:"moved"`
	// MinMoves is the smallest number of moves that gives each cell its new share.
	MinMoves int `json:"least"`
}

// String returns the counts as a few words.
func (m PartitionMoves) String() string {
	return "service " + m.Service + ": " + strconv.Itoa(m.Moved) + " of " + strconv.Itoa(m.Partitions) +
		" partitions move to another cell (least possible: " + strconv.Itoa(m.MinMoves) + ")"
}

// moves compares the placement of the keyed services that both configurations have with the same number of
// partitions.
func (c *Config) moves(next *Config) []PartitionMoves {
	var all []PartitionMoves
	for i := range next.Services {
		after := &next.Services[i]
		before, ok := c.Service(after.Name)
		if !ok || !before.Keyed || !after.Keyed || before.Partitions != after.Partitions {
			continue
		}
		if c.sameWeights(before, next, after) {
			continue
		}
		if moves := comparePlacements(after.Name, c.Place(before), c.placeNext(next, after)); moves.Moved > 0 {
			all = append(all, moves)
		}
	}
	return all
}

// placeNext returns the placement that the service will have once next is accepted after c.
func (c *Config) placeNext(next *Config, s *Service) *Placement {
	planned := *next
	planned.UpdatePlacements(c)
	return planned.Place(s)
}

// sameWeights reports whether the placements of both revisions are the same, without computing them.
func (c *Config) sameWeights(before *Service, next *Config, after *Service) bool {
	cells, weights := c.cellWeights(before)
	otherCells, otherWeights := next.cellWeights(after)
	return slices.Equal(cells, otherCells) && slices.Equal(weights, otherWeights)
}

func comparePlacements(service string, before, after *Placement) PartitionMoves {
	moves := PartitionMoves{Service: service, Partitions: len(after.ByPartition)}
	gained := make(map[string]int)
	for p := range after.ByPartition {
		from, to := before.Cell(keyspace.Partition(p)), after.Cell(keyspace.Partition(p))
		if from != to {
			moves.Moved++
		}
		gained[to]++
		gained[from]--
	}
	for _, n := range gained {
		moves.MinMoves += max(n, 0)
	}
	return moves
}
