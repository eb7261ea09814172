package config

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// distances yields an exponentially distributed number for each pair of partition and cell. It uses integer
// arithmetic only: math.Log differs in the last bit between processor types, and all gateways must compute the
// same placement.
type distances struct {
	seeds []uint64
}

func newDistances(service string, cells []string) distances {
	d := distances{seeds: make([]uint64, len(cells))}
	for i, cell := range cells {
		d.seeds[i] = xxhash.Sum64String(service + "/" + cell)
	}
	return d
}

// uniform returns a uniform number of 64 bits.
func (d distances) uniform(partition, cell int) uint64 {
	return mix(d.seeds[cell] + uint64(partition)*goldenRatio)
}

// distance returns -log2 of uniform / 2^64 in units of 2^-logBits. It is at least 1.
func distance(uniform uint64) float64 {
	return float64(max(64<<logBits-log2(uniform|1), 1))
}

// leastDistance returns a lower bound of distance without a logarithm: -log2(x) > 1 - x.
func leastDistance(uniform uint64) float64 {
	return float64(^uniform >> (64 - logBits))
}

// goldenRatio is 2^64 divided by the golden ratio, which spreads consecutive numbers.
const goldenRatio = 0x9e3779b97f4a7c15

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	// logBits is the number of fraction bits of log2.
	logBits = 40
	// logTableBits is the number of leading bits of the argument that select an entry of logTable.
	logTableBits = 10
)

// logTable holds the fraction of log2 of 1 + i/2^logTableBits.
var logTable = makeLogTable()

func makeLogTable() [1<<logTableBits + 1]uint64 {
	var table [1<<logTableBits + 1]uint64
	for i := range 1 << logTableBits {
		table[i] = log2Fraction(1<<63 | uint64(i)<<(63-logTableBits))
	}
	table[1<<logTableBits] = 1 << logBits
	return table
}

// log2Fraction returns the fraction of log2 of x / 2^63 for x with its highest bit set, by repeated squaring.
func log2Fraction(x uint64) uint64 {
	var fraction uint64
	for range logBits {
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

// log2 returns the logarithm of x, which is not 0, in units of 2^-logBits, interpolated between the entries of
// the table.
func log2(x uint64) uint64 {
	zeros := bits.LeadingZeros64(x)
	fraction := x << zeros << 1
	index := fraction >> (64 - logTableBits)
	rest := fraction << logTableBits >> 32
	low, high := logTable[index], logTable[index+1]
	return uint64(63-zeros)<<logBits + low + (high-low)*rest>>32
}
