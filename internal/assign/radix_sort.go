package assign

import (
	"math"
	"slices"
)

// radixMinimum is the length from which radix sort is faster than comparison sort.
const radixMinimum = 2048

const (
	radixBits = 11
	radixSize = 1 << radixBits
	// radixShift skips the unit index in the lower 32 bits of a packed word.
	radixShift = 32
)

// sortByLoad orders units by load, heaviest first. Loads are compared in single precision, so that load and index
// fit into one 64-bit word that sorts without indirection.
func (r *round) sortByLoad(units []int32) {
	packed := make([]uint64, len(units))
	for at, i := range units {
		invertedLoad := ^math.Float32bits(float32(r.units[i].load))
		packed[at] = uint64(invertedLoad)<<radixShift | uint64(uint32(i))
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

// radixSort sorts words by their upper 32 bits. The sort is stable; the result may share memory with words.
func radixSort(words []uint64) []uint64 {
	buffer := make([]uint64, len(words))
	for shift := radixShift; shift < 64; shift += radixBits {
		var offsets [radixSize]int
		for _, word := range words {
			offsets[(word>>shift)%radixSize]++
		}
		start := 0
		for digit, count := range offsets {
			offsets[digit] = start
			start += count
		}
		for _, word := range words {
			digit := (word >> shift) % radixSize
			buffer[offsets[digit]] = word
			offsets[digit]++
		}
		words, buffer = buffer, words
	}
	return words
}
