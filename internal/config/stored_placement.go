package config

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"slices"
)

// StoredPlacement is the encoded placement of one service. It is stored when a revision changes cells or weights, so
// that the next placement can be derived from it with the fewest possible moves. Place ignores it if it does not fit
// the configuration.
type StoredPlacement struct {
	Service string `json:"service"`
	// Cells lists the cells with servers of the service, sorted by name.
	Cells []string `json:"cells"`
	// Partitions is the base64 encoding of an index into Cells for each partition, as big-endian 16-bit integers.
	Partitions string `json:"partitions"`
}

// bytesPerPartition is the encoded size of one index.
const bytesPerPartition = 2

func newStoredPlacement(service string, p *Placement) StoredPlacement {
	data := make([]byte, 0, len(p.ByPartition)*bytesPerPartition)
	for _, cell := range p.ByPartition {
		data = binary.BigEndian.AppendUint16(data, cell)
	}
	return StoredPlacement{Service: service, Cells: p.Cells, Partitions: base64.StdEncoding.EncodeToString(data)}
}

// decode returns the placement, or nil if it does not fit the number of partitions, the cells or their weights.
func (s StoredPlacement) decode(partitions int, cells []string, weights []float64) *Placement {
	if !slices.Equal(s.Cells, cells) {
		return nil
	}
	data, err := base64.StdEncoding.DecodeString(s.Partitions)
	if err != nil || len(data) != partitions*bytesPerPartition {
		return nil
	}
	p := &Placement{Cells: cells, ByPartition: make([]uint16, partitions)}
	for i := range p.ByPartition {
		p.ByPartition[i] = binary.BigEndian.Uint16(data[i*bytesPerPartition:])
		if int(p.ByPartition[i]) >= len(cells) {
			return nil
		}
	}
	if !p.matchesWeights(weights) {
		return nil
	}
	return p
}

// matchesWeights reports whether the number of partitions of each cell is within one of its share by weight.
func (p *Placement) matchesWeights(weights []float64) bool {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	for i, count := range p.counts() {
		if exact := float64(len(p.ByPartition)) * (weights[i] / total); math.Abs(float64(count)-exact) >= 1+shareTolerance {
			return false
		}
	}
	return true
}

// shareTolerance allows for floating-point rounding of shares that are whole numbers.
const shareTolerance = 1e-6

// counts returns the number of partitions of each cell, in the order of Cells.
func (p *Placement) counts() []int {
	counts := make([]int, len(p.Cells))
	for _, cell := range p.ByPartition {
		counts[cell]++
	}
	return counts
}

// UpdatePlacements sets Placements to those derived from the previous revision with the fewest possible moves. A
// service that is new, or whose cells and weights have never changed, has no stored placement; Place computes it.
func (c *Config) UpdatePlacements(previous *Config) {
	c.Placements = nil
	for i := range c.Services {
		if stored, ok := c.carryPlacement(previous, &c.Services[i]); ok {
			c.Placements = append(c.Placements, stored)
		}
	}
}

// carryPlacement derives the stored placement of one service from the previous revision. It reports false if the
// service needs none.
func (c *Config) carryPlacement(previous *Config, s *Service) (StoredPlacement, bool) {
	before, ok := previous.Service(s.Name)
	if !ok || !s.Keyed || !before.Keyed || before.Partitions != s.Partitions {
		return StoredPlacement{}, false
	}
	if previous.sameWeights(before, c, s) {
		return previous.storedPlacement(s.Name)
	}
	cells, weights := c.cellWeights(s)
	if len(cells) == 0 {
		return StoredPlacement{}, false
	}
	return newStoredPlacement(s.Name, rebalance(previous.Place(before), s.Partitions, cells, weights)), true
}

func (c *Config) storedPlacement(service string) (StoredPlacement, bool) {
	for _, stored := range c.Placements {
		if stored.Service == service {
			return stored, true
		}
	}
	return StoredPlacement{}, false
}
