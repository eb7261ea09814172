package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// partitionScope returns the scope of the partition that contains a hot key, or nil if another server owns it.
func (d *Dispatcher) partitionScope(hot *scopeState) *scopeState {
	return d.partitions[keyspace.PartitionOf(hot.scope.HotKey, len(d.partitions))]
}

// splitHotKey moves the requests for a new hot key from the scope of its partition to the scope of the key. Otherwise,
// the key would be released while its requests, sent under the grant of the partition, are still in execution.
func (d *Dispatcher) splitHotKey(hot *scopeState) {
	partition := d.partitionScope(hot)
	if partition == nil {
		return
	}
	hot.recordedSince = partition.recordedSince
	for p := range partition.waiting {
		if p.req.Key == hot.scope.HotKey {
			delete(partition.waiting, p)
			hot.waiting[p] = struct{}{}
			p.scope = hot
		}
	}
	d.moveRunning(partition, hot, hot.scope.HotKey)
}

// mergeHotKey moves the running requests for a former hot key back to the scope of its partition.
func (d *Dispatcher) mergeHotKey(hot *scopeState) {
	if partition := d.partitionScope(hot); partition != nil {
		d.moveRunning(hot, partition, hot.scope.HotKey)
	}
}

// moveRunning moves the requests for key that may still be in execution from one scope to another. The keys of
// abandoned requests are not recorded, so mayExecuteUntil applies to both scopes.
func (d *Dispatcher) moveRunning(from, to *scopeState, key string) {
	to.mayExecuteUntil = later(to.mayExecuteUntil, from.mayExecuteUntil)
	for p := range d.running {
		if p.scope == from && p.req.Key == key {
			from.inProgress--
			to.inProgress++
			p.scope = to
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
