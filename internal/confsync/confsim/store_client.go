package confsim

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

var background = context.Background()

func (n *Network) sendStoreRequest(host *Host, request confsync.StoreRequest) {
	if request.Kind == confsync.StoreCancelWatch {
		host.watchPending = false
		return
	}
	if n.storeUnreachable(host) || n.options.StoreUnreachable {
		n.failStoreRequest(host, request)
		return
	}
	n.schedule(host, storeLatency, event{kind: eventStoreRequest, request: request})
}

func (n *Network) storeUnreachable(host *Host) bool { return n.storeDown || host.group != 0 }

func (n *Network) failStoreRequest(host *Host, request confsync.StoreRequest) {
	result := confsync.StoreResult{Seq: request.Seq, Err: confsync.StoreUnavailable}
	n.schedule(host, storeTimeout, event{kind: eventStoreResult, result: result})
}

// handleStoreRequest executes a request that has reached the store.
func (n *Network) handleStoreRequest(host *Host, request confsync.StoreRequest) {
	if n.storeUnreachable(host) {
		n.failStoreRequest(host, request)
		return
	}
	if request.Kind == confsync.StoreWatch {
		host.watchRequest = request
		host.watchPending = true
		n.completeWatch(host)
		return
	}
	result := n.execute(request)
	if result.Err == confsync.StoreUnavailable {
		n.schedule(host, storeTimeout, event{kind: eventStoreResult, result: result})
		return
	}
	n.schedule(host, storeLatency, event{kind: eventStoreResult, result: result})
}

// execute performs a read or write on the store.
func (n *Network) execute(request confsync.StoreRequest) confsync.StoreResult {
	var entry store.Entry
	var err error
	if request.Kind == confsync.StoreWrite {
		entry, err = n.options.Store.CompareAndSwap(background, Key, request.Version, request.Document.Bytes)
		n.After(max(n.options.WatchLag, timeStep), n.completeWatches)
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

func (n *Network) completeWatches() {
	for _, c := range n.cells {
		if !c.firstInZone {
			continue
		}
		for _, host := range c.hosts {
			n.completeWatch(host)
		}
	}
}

// completeWatch completes the watch of host if the store has a newer version, or fails it if the store is unreachable.
func (n *Network) completeWatch(host *Host) {
	if !host.watchPending || !host.Alive {
		return
	}
	if n.storeUnreachable(host) {
		host.watchPending = false
		n.failStoreRequest(host, host.watchRequest)
		return
	}
	entry := n.Stored()
	if entry.Version <= host.watchRequest.Version {
		return
	}
	host.watchPending = false
	result := confsync.StoreResult{Seq: host.watchRequest.Seq, Version: entry.Version, Document: decode(entry.Value)}
	n.schedule(host, storeLatency, event{kind: eventStoreResult, result: result})
}

// Stored returns the entry in the store, or the zero Entry. It ignores simulated stale reads and is not counted as a
// store call.
func (n *Network) Stored() store.Entry {
	entry, _ := n.options.Store.Peek(Key, 0)
	return entry
}
