// Package keyspace maps keys to partitions.
package keyspace

import "github.com/cespare/xxhash/v2"

// Partition is a hash range of the keys of one service.
type Partition uint32

// PartitionOf returns the partition of key. The count must be a power of two.
func PartitionOf(key string, count int) Partition {
	return Partition(xxhash.Sum64String(key) & uint64(count-1))
}

// IsPartitionCount reports whether n can be the number of partitions of a service.
func IsPartitionCount(n int) bool {
	return n > 0 && n <= MaxPartitions && n&(n-1) == 0
}

// MaxPartitions bounds the partitions of one service. 65,536 entries of owner and
// home fit into a store value of 1 MB.
const MaxPartitions = 65536
