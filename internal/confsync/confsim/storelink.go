package confsim

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

var background = context.Background()

func (n *Network) toStore(host *Host, request confsync.StoreRequest) {
	if request.Kind == confsync.StoreStop {
		host.waiting = false
		return
	}
	if n.unreachable(host) || n.options.NoWatches {
		n.storeFails(host, request)
		return
	}
	n.schedule(host, storeLatency, event{kind: eventStoreRequest, request: request})
}

func (n *Network) unreachable(host *Host) bool { return n.storeDown || host.group != 0 }

func (n *Network) storeFails(host *Host, request confsync.StoreRequest) {
	result := confsync.StoreResult{Seq: request.Seq, Err: confsync.StoreUnavailable}
	n.schedule(host, storeTimeout, event{kind: eventStoreResult, result: result})
}

// storeRequest executes a request that has reached the store.
func (n *Network) storeRequest(host *Host, request confsync.StoreRequest) {
	if n.unreachable(host) {
		n.storeFails(host, request)
		return
	}
	if request.Kind == confsync.StoreWatch {
		host.watch = request
		host.waiting = true
		n.fireWatch(host)
		return
	}
	result := n.execute(request)
	if result.Err == confsync.StoreUnavailable {
		n.schedule(host, storeTimeout, event{kind: eventStoreResult, result: result})
		return
	}
	n.schedule(host, storeLatency, event{kind: eventStoreResult, result: result})
}

// execute runs a read or a write on the store.
func (n *Network) execute(request confsync.StoreRequest) confsync.StoreResult {
	var entry store.Entry
	var err error
	if request.Kind == confsync.StoreWrite {
		entry, err = n.options.Store.CompareAndSwap(background, Key, request.Version, request.Document.Bytes)
		n.After(max(n.options.WatchLag, resolution), n.fireWatches)
	} else {
		entry, err = n.options.Store.Get(background, Key)
	}
	result := confsync.StoreResult{Seq: request.Seq, Version: entry.Version, Err: storeError(err)}
	if err == nil {
		result.Document = decode(entry.Value)
	}
	return result
}

func storeError(err error) confsync.StoreError {
	switch {
	case err == nil:
		return confsync.StoreOK
	case errors.Is(err, store.ErrNotFound):
		return confsync.StoreNotFound
	case errors.Is(err, store.ErrConflict):
		return confsync.StoreConflict
	default:
		return confsync.StoreUnavailable
	}
}

func (n *Network) fireWatches() {
	for _, c := range n.cells {
		if !c.first {
			continue
		}
		for _, host := range c.hosts {
			n.fireWatch(host)
		}
	}
}

// fireWatch answers the watch of host if the store has a newer version, or fails it if the store is unreachable.
func (n *Network) fireWatch(host *Host) {
	if !host.waiting || !host.Alive {
		return
	}
	if n.unreachable(host) {
		host.waiting = false
		n.storeFails(host, host.watch)
		return
	}
	entry := n.Stored()
	if entry.Version <= host.watch.Version {
		return
	}
	host.waiting = false
	result := confsync.StoreResult{Seq: host.watch.Seq, Version: entry.Version, Document: decode(entry.Value)}
	n.schedule(host, storeLatency, event{kind: eventStoreResult, result: result})
}

// Stored returns what is in the store, or the zero Entry. Stale reads do not affect it, and it is no call.
func (n *Network) Stored() store.Entry {
	entry, _ := n.options.Store.Peek(Key, 0)
	return entry
}
