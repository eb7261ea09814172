package keyspace

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a hash that distributes keys unevenly or returns partitions out of range. With 256 keys per
// partition on average, a uniform hash stays within 6 standard deviations (96 keys).
func TestKeysSpreadEvenly(t *testing.T) {
	const count, perPartition = 1024, 256
	keys := make([]int, count)
	for i := range count * perPartition {
		keys[PartitionOf(fmt.Sprintf("subscriber-%d/parcel", i), count)]++
	}
	for partition, n := range keys {
		if n < perPartition-96 || n > perPartition+96 {
			t.Errorf("partition %d has %d keys, want about %d", partition, n, perPartition)
		}
	}
}

// Guards against a change of the hash, after which gateways of different versions would map keys to different
// partitions. Also checks that doubling the count splits each partition into two that map back to it.
func TestPartitionIsStable(t *testing.T) {
	// The low 16 bits of the published xxhash64 values.
	for key, want := range map[string]Partition{"": 0xe999, "a": 0x6e5b, "abc": 0x0999} {
		got := PartitionOf(key, 1<<16)
		if got != want || PartitionOf(key, 1<<10) != want%(1<<10) || PartitionOf(key, 1) != 0 {
			t.Errorf("PartitionOf(%q) = %d, want %d", key, got, want)
		}
	}
}

// Guards against accepting a number of partitions that is not a power of two, for which the mask in PartitionOf is
// wrong.
func TestIsPartitionCount(t *testing.T) {
	for n, want := range map[int]bool{-1: false, 0: false, 1: true, 3: false, 1024: true, MaxPartitions: true, 2 * MaxPartitions: false} {
		if IsPartitionCount(n) != want {
			t.Errorf("IsPartitionCount(%d) = %v, want %v", n, !want, want)
		}
	}
}

var sink Partition

func BenchmarkOf(b *testing.B) {
	for _, length := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("key=%dB", length), func(b *testing.B) {
			key := strings.Repeat("k", length)
			b.ReportAllocs()
			for b.Loop() {
				sink = PartitionOf(key, 1024)
			}
		})
	}
}
