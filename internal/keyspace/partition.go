// Package keyspace maps keys to hash partitions.
package keyspace

import "github.com/cespare/xxhash/v2"

// Partition identifies a hash partition of the keys of one service.
type Partition uint32

// PartitionOf returns the partition of key. count is the number of partitions and must be a power of two.
func PartitionOf(key string, count int) Partition {
	return Partition(xxhash.Sum64String(key) & uint64(count-1))
}

// IsPartitionCount reports whether n is a valid number of partitions for a service.
func IsPartitionCount(n int) bool {
	return n > 0 && n <= MaxPartitions && n&(n-1) == 0
}

// MaxPartitions is the maximum number of partitions of a service. The owner and home of 65,536 partitions fit into a
// store value of 1 MB.
const MaxPartitions = 65536
