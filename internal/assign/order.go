package assign

import (
	"math"
	"slices"
)

// sortByLoad orders units by load, heaviest first. Loads are compared in single precision, so that load and index
// fit into one word that sorts without indirection.
func (r *round) sortByLoad(units []int32) {
	packed := make([]uint64, len(units))
	for at, i := range units {
		lightness := ^math.Float32bits(float32(r.units[i].load))
		packed[at] = uint64(lightness)<<32 | uint64(uint32(i))
	}
	slices.Sort(packed)
	for at, word := range packed {
		units[at] = int32(uint32(word))
	}
}
