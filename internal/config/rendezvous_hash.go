package config

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// rendezvousHash hashes pairs of partition and cell for weighted rendezvous hashing. The hash and the logarithm that
// turns it into a score use integer arithmetic only: math.Log differs in the last bit between processor types, and all
// gateways must compute the same placement.
type rendezvousHash struct {
	// seeds holds the hash of service and cell for each cell.
	seeds []uint64
}

func newRendezvousHash(service string, cells []string) rendezvousHash {
	h := rendezvousHash{seeds: make([]uint64, len(cells))}
	for i, cell := range cells {
		h.seeds[i] = xxhash.Sum64String(service + "/" + cell)
	}
	return h
}

// hash returns a uniformly distributed 64-bit hash.
func (h rendezvousHash) hash(partition, cell int) uint64 {
	return splitMix64(h.seeds[cell] + uint64(partition)*goldenRatio64)
}

// exponentialVariate maps a uniform 64-bit hash to an exponentially distributed number: -log2(hash / 2^64) in units of
// 2^-logFractionBits. The result is at least 1.
func exponentialVariate(hash uint64) float64 {
	return float64(max(64<<logFractionBits-log2(hash|1), 1))
}

// exponentialLowerBound returns a lower bound of exponentialVariate without computing a logarithm, using
// -log2(x) > 1 - x.
func exponentialLowerBound(hash uint64) float64 {
	return float64(^hash >> (64 - logFractionBits))
}

// goldenRatio64 is 2^64 divided by the golden ratio. Multiples of it by consecutive numbers are spread evenly
// (Fibonacci hashing).
const goldenRatio64 = 0x9e3779b97f4a7c15

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	// logFractionBits is the number of fraction bits in the fixed-point results of log2.
	logFractionBits = 40
	// logTableBits is the number of mantissa bits that select an entry of logTable.
	logTableBits = 10
)

// logTable holds log2(1 + i/2^logTableBits) in fixed point with logFractionBits fraction bits.
var logTable = makeLogTable()

func makeLogTable() [1<<logTableBits + 1]uint64 {
	var table [1<<logTableBits + 1]uint64
	for i := range 1 << logTableBits {
		table[i] = log2Fraction(1<<63 | uint64(i)<<(63-logTableBits))
	}
	table[1<<logTableBits] = 1 << logFractionBits
	return table
}

// log2Fraction returns the fraction bits of log2(x / 2^63) by repeated squaring. The highest bit of x must be set.
func log2Fraction(x uint64) uint64 {
	var fraction uint64
	for range logFractionBits {
		high, low := bits.Mul64(x, x)
		fraction <<= 1
		if high>>63 == 1 {
			fraction |= 1
			x = high
		} else {
			x = high<<1 | low>>63
		}
	}
	return fraction
}

// log2 returns the base-2 logarithm of x in units of 2^-logFractionBits, by linear interpolation between the entries of
// logTable. x must not be 0.
func log2(x uint64) uint64 {
	zeros := bits.LeadingZeros64(x)
	fraction := x << zeros << 1
	index := fraction >> (64 - logTableBits)
	offset := fraction << logTableBits >> 32
	low, high := logTable[index], logTable[index+1]
	return uint64(63-zeros)<<logFractionBits + low + (high-low)*offset>>32
}
