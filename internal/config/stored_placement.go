package config

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"slices"
)

// StoredPlacement is the placement of one service. An accept that changes cells or weights stores it, so that only
// the least possible number of partitions moves. Place ignores it if it does not fit the configuration.
type StoredPlacement struct {
	Service string `json:"service"`
	// Cells are the cells with servers of the service, by name.
	Cells []string `json:"cells"`
	// Partitions holds an index into Cells for each partition: two bytes each, the high one first, in base64.
	Partitions string `json:"partitions"`
}

// bytesPerPartition is the size of one index.
const bytesPerPartition = 2

func newStoredPlacement(service string, p *Placement) StoredPlacement {
	text := make([]byte, 0, len(p.ByPartition)*bytesPerPartition)
	for _, cell := range p.ByPartition {
		text = binary.BigEndian.AppendUint16(text, cell)
	}
	return StoredPlacement{Service: service, Cells: p.Cells, Partitions: base64.StdEncoding.EncodeToString(text)}
}

// decode returns the placement, or nil if it does not fit the number of partitions and the weights of the cells.
func (s StoredPlacement) decode(partitions int, cells []string, weights []float64) *Placement {
	if !slices.Equal(s.Cells, cells) {
		return nil
	}
	text, err := base64.StdEncoding.DecodeString(s.Partitions)
	if err != nil || len(text) != partitions*bytesPerPartition {
		return nil
	}
	p := &Placement{Cells: cells, ByPartition: make([]uint16, partitions)}
	for i := range p.ByPartition {
		p.ByPartition[i] = binary.BigEndian.Uint16(text[i*bytesPerPartition:])
		if int(p.ByPartition[i]) >= len(cells) {
			return nil
		}
	}
	if !p.isExact(weights) {
		return nil
	}
	return p
}

// isExact reports whether the share of each cell is within one partition of its weight.
func (p *Placement) isExact(weights []float64) bool {
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

// shareTolerance covers the rounding of shares that are whole numbers.
const shareTolerance = 1e-6

// counts returns the number of partitions of each cell.
func (p *Placement) counts() []int {
	counts := make([]int, len(p.Cells))
	for _, cell := range p.ByPartition {
		counts[cell]++
	}
	return counts
}

// UpdatePlacements stores the placements that follow from those of the previous revision with the least possible number
// of moves. A service that is new, or whose cells and weights never changed, has none and is computed by Place.
func (c *Config) UpdatePlacements(previous *Config) {
	c.Placements = nil
	for i := range c.Services {
		if stored, ok := c.follow(previous, &c.Services[i]); ok {
			c.Placements = append(c.Placements, stored)
		}
	}
}

func (c *Config) follow(previous *Config, s *Service) (StoredPlacement, bool) {
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
	return newStoredPlacement(s.Name, adjust(previous.Place(before), s.Partitions, cells, weights)), true
}

func (c *Config) storedPlacement(service string) (StoredPlacement, bool) {
	for _, stored := range c.Placements {
		if stored.Service == service {
			return stored, true
		}
	}
	return StoredPlacement{}, false
}
