package assign

import (
	"math"
	"slices"
)

// radixMinimum is the length from which sorting by digits is faster than sorting by comparison.
const radixMinimum = 2048

const (
	radixBits = 11
	radixSize = 1 << radixBits
	// radixShift skips the unit index in the lower half of a packed word.
	radixShift = 32
)

// sortByLoad orders units by load, heaviest first. Loads are compared in single precision, so that load and index
// fit into one word that sorts without indirection.
func (r *round) sortByLoad(units []int32) {
	packed := make([]uint64, len(units))
	for at, i := range units {
		lightness := ^math.Float32bits(float32(r.units[i].load))
		packed[at] = uint64(lightness)<<radixShift | uint64(uint32(i))
	}
	if len(packed) < radixMinimum {
		slices.Sort(packed)
	} else {
		packed = radixSort(packed)
	}
	for at, word := range packed {
		units[at] = int32(uint32(word))
	}
}

// radixSort orders words by their upper half. It keeps the order of words with equal upper halves and may reuse the
// given slice.
func radixSort(words []uint64) []uint64 {
	spare := make([]uint64, len(words))
	for shift := radixShift; shift < 64; shift += radixBits {
		var ends [radixSize]int
		for _, word := range words {
			ends[(word>>shift)%radixSize]++
		}
		start := 0
		for digit, count := range ends {
			ends[digit] = start
			start += count
		}
		for _, word := range words {
			digit := (word >> shift) % radixSize
			spare[ends[digit]] = word
			ends[digit]++
		}
		words, spare = spare, words
	}
	return words
}
