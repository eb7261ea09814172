package confsync

import "time"

func (n *Node) receiveStoreResult(now time.Duration, result StoreResult, out *Output) {
	switch {
	case n.store.pendingWatch.Kind != "" && result.Seq == n.store.pendingWatch.Seq:
		n.store.pendingWatch = StoreRequest{}
		n.receiveWatchResult(now, result, out)
	case n.store.pendingCall.Kind != "" && result.Seq == n.store.pendingCall.Seq:
		call := n.store.pendingCall
		n.store.pendingCall = StoreRequest{}
		if call.Kind == StoreWrite {
			n.receiveWriteResult(now, call, result, out)
			return
		}
		n.receiveReadResult(now, result, out)
	}
}

func (n *Node) receiveWatchResult(now time.Duration, result StoreResult, out *Output) {
	if result.Err != StoreOK {
		n.store.nextWatch = now + StoreRetryInterval
		return
	}
	n.recordStoreValue(now, result.Version, result.Document, out)
}

func (n *Node) receiveReadResult(now time.Duration, result StoreResult, out *Output) {
	switch result.Err {
	case StoreOK:
		n.recordStoreValue(now, result.Version, result.Document, out)
	case StoreNotFound:
		n.recordStoreValue(now, 0, Document{}, out)
	default:
		n.store.nextRead = now + StoreRetryInterval
		return
	}
	n.start.storeResponded = true
	n.store.nextRead = now + n.nextReadDelay()
}

func (n *Node) nextReadDelay() time.Duration {
	switch {
	case n.start.active:
		return StoreReadInterval + time.Duration(n.options.Random(int(StoreReadInterval)))
	case n.topology.Watcher:
		return StoreReadInterval
	default:
		return n.holderlessReadDelay()
	}
}

// recordStoreValue records a value of the store, and holds its document if it supersedes the held one.
func (n *Node) recordStoreValue(now time.Duration, version uint64, document Document, out *Output) {
	n.store.valueKnown = true
	n.store.version = version
	n.store.value = document
	if document.Revision != 0 {
		n.setHeld(now, document, "", out)
	}
}

func (n *Node) receiveWriteResult(now time.Duration, call StoreRequest, result StoreResult, out *Output) {
	if result.Err != StoreOK {
		// The store holds another value or an unknown one; the next read shows which.
		n.store.valueKnown = false
		n.store.nextRead = now + StoreRetryInterval
		return
	}
	n.start.storeConfirmed = true
	n.recordStoreValue(now, result.Version, call.Document, out)
	n.store.nextRead = now + n.nextReadDelay()
	if !n.start.active {
		out.addEvent(EventWrittenBack, call.Document.Version, Version{})
	}
}
