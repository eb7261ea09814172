package config

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Placement maps each partition of a service to a cell.
type Placement struct {
	// Cells are the cells with servers of the service.
	Cells []string
	// ByPartition holds an index into Cells for each partition.
	ByPartition []uint16
}

// Cell returns the cell of partition p.
func (p *Placement) Cell(partition keyspace.Partition) string {
	return p.Cells[p.ByPartition[partition]]
}

// Place computes the placement of a keyed service. Each partition goes to the cell with the greatest
// weighted rendezvous score among the cells that have room left for their share, so that a change of weight
// moves little and the shares stay exact within one partition.
func (c *Config) Place(s *Service) *Placement {
	weights := make(map[string]float64)
	placement := &Placement{ByPartition: make([]uint16, s.Partitions)}
	total := 0.0
	for _, server := range s.Servers {
		if c.isLost(server.Zone) {
			continue
		}
		if _, ok := weights[server.Cell]; !ok {
			placement.Cells = append(placement.Cells, server.Cell)
		}
		weights[server.Cell] += server.EffectiveWeight()
		total += server.EffectiveWeight()
	}
	room := make([]int, len(placement.Cells))
	for i, cell := range placement.Cells {
		room[i] = int(math.Ceil(float64(s.Partitions) * weights[cell] / total))
	}
	for p := range placement.ByPartition {
		best := bestCell(s.Name, p, placement.Cells, weights, room)
		room[best]--
		placement.ByPartition[p] = uint16(best)
	}
	return placement
}

func bestCell(service string, partition int, cells []string, weights map[string]float64, room []int) int {
	best, bestScore := 0, math.Inf(-1)
	for i, cell := range cells {
		if room[i] <= 0 {
			continue
		}
		if score := rendezvousScore(service, partition, cell, weights[cell]); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func rendezvousScore(service string, partition int, cell string, weight float64) float64 {
	hash := xxhash.Sum64String(service + "/" + strconv.Itoa(partition) + "/" + cell)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
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
