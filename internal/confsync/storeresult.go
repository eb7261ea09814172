package confsync

import "time"

func (n *Node) receiveStore(now time.Duration, result StoreResult, out *Output) {
	switch {
	case n.store.watch.Kind != "" && result.Seq == n.store.watch.Seq:
		n.store.watch = StoreRequest{}
		n.receiveWatch(now, result, out)
	case n.store.call.Kind != "" && result.Seq == n.store.call.Seq:
		call := n.store.call
		n.store.call = StoreRequest{}
		if call.Kind == StoreWrite {
			n.receiveWrite(now, call, result, out)
			return
		}
		n.receiveRead(now, result, out)
	}
}

func (n *Node) receiveWatch(now time.Duration, result StoreResult, out *Output) {
	if result.Err != StoreOK {
		n.store.nextWatch = now + RetryInterval
		return
	}
	n.see(now, result.Version, result.Document, out)
}

func (n *Node) receiveRead(now time.Duration, result StoreResult, out *Output) {
	switch result.Err {
	case StoreOK:
		n.see(now, result.Version, result.Document, out)
	case StoreNotFound:
		n.see(now, 0, Document{}, out)
	default:
		n.store.nextRead = now + RetryInterval
		return
	}
	n.start.storeDone = true
	n.store.nextRead = now + n.readPause()
}

func (n *Node) readPause() time.Duration {
	switch {
	case n.start.active:
		return ReadInterval + time.Duration(n.options.Random(int(ReadInterval)))
	case n.topology.Watcher:
		return ReadInterval
	default:
		return n.leaderlessPause()
	}
}

// see takes a value of the store into account.
func (n *Node) see(now time.Duration, version uint64, document Document, out *Output) {
	n.store.seen = true
	n.store.version = version
	n.store.value = document
	if document.Revision != 0 {
		n.hold(now, document, "", out)
	}
}

func (n *Node) receiveWrite(now time.Duration, call StoreRequest, result StoreResult, out *Output) {
	if result.Err != StoreOK {
		// The value is another one or unknown; the next read tells.
		n.store.seen = false
		n.store.nextRead = now + RetryInterval
		return
	}
	n.start.confirmed = true
	n.see(now, result.Version, call.Document, out)
	n.store.nextRead = now + n.readPause()
	if !n.start.active {
		out.note(NoteWriteBack, call.Document.Version, Version{})
	}
}
