package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// partitionOf returns the scope of the partition that contains a hot key, or nil if another server owns it.
func (d *Dispatcher) partitionOf(hot *scopeState) *scopeState {
	return d.partitions[keyspace.PartitionOf(hot.scope.HotKey, len(d.partitions))]
}

// split moves the requests of a key that gets a scope of its own out of the scope of its partition. Without it, the key
// would be released while its requests, sent under the grant of the partition, still execute.
func (d *Dispatcher) split(hot *scopeState) {
	partition := d.partitionOf(hot)
	if partition == nil {
		return
	}
	hot.since = partition.since
	for t := range partition.waiting {
		if t.req.Key == hot.scope.HotKey {
			delete(partition.waiting, t)
			hot.waiting[t] = struct{}{}
			t.scope = hot
		}
	}
	d.moveRunning(partition, hot, hot.scope.HotKey)
}

// unsplit counts the running requests of a key that has no scope of its own any more in the scope of its partition.
func (d *Dispatcher) unsplit(hot *scopeState) {
	if partition := d.partitionOf(hot); partition != nil {
		d.moveRunning(hot, partition, hot.scope.HotKey)
	}
}

// moveRunning moves what can still execute for key from one scope to another. Which key an abandoned request had is not
// known any more, so its end counts for both.
func (d *Dispatcher) moveRunning(from, to *scopeState, key string) {
	to.busyUntil = later(to.busyUntil, from.busyUntil)
	for t := range d.running {
		if t.scope == from && t.req.Key == key {
			from.inProgress--
			to.inProgress++
			t.scope = to
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
