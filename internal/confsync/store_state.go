package confsync

import "time"

// storeState tracks requests to the store and its last known value.
type storeState struct {
	seq uint64
	// pendingWatch and pendingCall, a read or a write, have no result yet. Kind is "" if there is none.
	pendingWatch StoreRequest
	pendingCall  StoreRequest
	// version and value are the last known value of the key; they are used only while valueKnown is true.
	version    uint64
	valueKnown bool
	value      Document
	nextRead   time.Duration
	nextWatch  time.Duration
	// readScheduled is true once nextRead is the time of a regular read in a cell without a holder.
	readScheduled bool
}

func (n *Node) stepStore(now time.Duration, out *Output) {
	n.stepWatch(now, out)
	if n.store.pendingCall.Kind != "" {
		return
	}
	switch {
	case n.stepConfirmStore(now, out):
	case n.stepRepairStore(now, out):
	case n.readDue(now):
		n.sendCall(StoreRequest{Kind: StoreRead}, out)
	}
}

// readDue reports whether the value must be read now. Starting gateways read it until they have a document, watchers
// read it regularly, and gateways in cells without a holder read it at longer random intervals.
func (n *Node) readDue(now time.Duration) bool {
	if now < n.store.nextRead {
		return false
	}
	if n.start.active {
		return !n.start.storeResponded || !n.store.valueKnown || n.held.Revision == 0
	}
	if n.topology.Watcher {
		return true
	}
	if n.topology.Holder != "" {
		n.store.readScheduled = false
		return false
	}
	if !n.store.readScheduled {
		n.store.readScheduled = true
		n.store.nextRead = now + n.holderlessReadDelay()
		return false
	}
	return true
}

// holderlessReadDelay returns a random time between 0.5 and 1.5 times HolderlessReadInterval.
func (n *Node) holderlessReadDelay() time.Duration {
	return HolderlessReadInterval/2 + time.Duration(n.options.Random(int(HolderlessReadInterval)))
}

func (n *Node) stepWatch(now time.Duration, out *Output) {
	if !n.topology.Watcher {
		if n.store.pendingWatch.Kind != "" {
			out.Store = append(out.Store, StoreRequest{Seq: n.store.pendingWatch.Seq, Kind: StoreCancelWatch})
			n.store.pendingWatch = StoreRequest{}
		}
		return
	}
	if n.start.active || !n.store.valueKnown || n.store.pendingWatch.Kind != "" || now < n.store.nextWatch {
		return
	}
	n.store.pendingWatch = n.sendRequest(StoreRequest{Kind: StoreWatch, Version: n.store.version}, out)
}

// stepConfirmStore writes back the held document after a random delay. Success proves that the last read was not stale.
// It returns true if no other call should be sent in this step.
func (n *Node) stepConfirmStore(now time.Duration, out *Output) bool {
	if !n.store.valueKnown || !n.needsStoreConfirmation(now) {
		return false
	}
	if n.start.confirmAt == 0 {
		n.start.confirmAt = now + time.Duration(n.options.Random(int(MaxConfirmDelay)))
	}
	if now < n.start.confirmAt {
		return true
	}
	n.start.confirmAt = 0
	n.sendCall(StoreRequest{Kind: StoreWrite, Version: n.store.version, Document: n.held}, out)
	return true
}

// stepRepairStore corrects the store. Only the holder of the first cell of a zone does this. It writes back the
// document in force if the store has a smaller revision, and resolves a dispute by accepting the document of the store
// under the next revision.
func (n *Node) stepRepairStore(now time.Duration, out *Output) bool {
	if !n.topology.Watcher || !n.isHolder() || n.start.active || !n.store.valueKnown || n.inForce.Revision == 0 {
		return false
	}
	value := n.store.value
	switch {
	case value.Revision < n.inForce.Revision:
		out.addEvent(EventStoreSmaller, n.inForce.Version, value.Version)
		n.sendCall(StoreRequest{Kind: StoreWrite, Version: n.store.version, Document: n.inForce}, out)
	case value.Revision == n.inForce.Revision && (n.disputed || value.conflictsWith(n.inForce.Version)):
		rebased, err := n.options.Rebase(value, value.Revision+1)
		if err != nil {
			return false
		}
		out.addEvent(EventRebased, rebased.Version, value.Version)
		n.sendCall(StoreRequest{Kind: StoreWrite, Version: n.store.version, Document: rebased}, out)
	default:
		return false
	}
	// A known value is used for one write only; another write requires another read.
	n.store.valueKnown = false
	n.store.nextRead = now
	return true
}

func (n *Node) sendCall(r StoreRequest, out *Output) {
	n.store.pendingCall = n.sendRequest(r, out)
}

func (n *Node) sendRequest(r StoreRequest, out *Output) StoreRequest {
	n.store.seq++
	r.Seq = n.store.seq
	out.Store = append(out.Store, r)
	return r
}
