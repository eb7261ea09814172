package confsync

import "time"

// storeState is the conversation with the store.
type storeState struct {
	seq uint64
	// watch and call are the requests that wait for a result. Kind is "" if there is none.
	watch StoreRequest
	call  StoreRequest
	// version is that of the last value seen.
	version   uint64
	seen      bool
	value     Document
	nextRead  time.Duration
	nextWatch time.Duration
	// scheduled is true once nextRead holds the time of a regular read.
	scheduled bool
}

func (n *Node) stepStore(now time.Duration, out *Output) {
	n.stepWatch(now, out)
	if n.store.call.Kind != "" {
		return
	}
	switch {
	case n.stepConfirm(now, out):
	case n.stepRepair(now, out):
	case n.readDue(now):
		n.call(StoreRequest{Kind: StoreRead}, out)
	}
}

// readDue says whether the value must be read: by a fresh gateway, by watchers regularly, and by gateways whose cell
// has no holder now and then.
func (n *Node) readDue(now time.Duration) bool {
	if now < n.store.nextRead {
		return false
	}
	if n.start.active {
		return !n.start.storeDone || !n.store.seen || n.held.Revision == 0
	}
	if n.topology.Watcher {
		return true
	}
	if n.topology.Holder != "" {
		n.store.scheduled = false
		return false
	}
	if !n.store.scheduled {
		n.store.scheduled = true
		n.store.nextRead = now + n.leaderlessPause()
		return false
	}
	return true
}

// leaderlessPause returns a random time around LeaderlessReadInterval.
func (n *Node) leaderlessPause() time.Duration {
	return LeaderlessReadInterval/2 + time.Duration(n.options.Random(int(LeaderlessReadInterval)))
}

func (n *Node) stepWatch(now time.Duration, out *Output) {
	if !n.topology.Watcher {
		if n.store.watch.Kind != "" {
			out.Store = append(out.Store, StoreRequest{Seq: n.store.watch.Seq, Kind: StoreStop})
			n.store.watch = StoreRequest{}
		}
		return
	}
	if n.start.active || !n.store.seen || n.store.watch.Kind != "" || now < n.store.nextWatch {
		return
	}
	n.store.watch = n.request(StoreRequest{Kind: StoreWatch, Version: n.store.version}, out)
}

// stepConfirm writes the greatest value read. Success proves that the last read was not stale.
func (n *Node) stepConfirm(now time.Duration, out *Output) bool {
	if !n.store.seen || !n.mustConfirm(now) {
		return false
	}
	if n.start.confirmAt == 0 {
		n.start.confirmAt = now + time.Duration(n.options.Random(int(ConfirmSpread)))
	}
	if now < n.start.confirmAt {
		return true
	}
	n.start.confirmAt = 0
	n.call(StoreRequest{Kind: StoreWrite, Version: n.store.version, Document: n.held}, out)
	return true
}

// stepRepair lets the holder of the zone's first cell correct the store: it writes back the document in force if the
// store shows a smaller revision, and settles a dispute by accepting the store's document with a greater revision.
func (n *Node) stepRepair(now time.Duration, out *Output) bool {
	if !n.topology.Watcher || !n.leads() || n.start.active || !n.store.seen || n.inForce.Revision == 0 {
		return false
	}
	value := n.store.value
	switch {
	case value.Revision < n.inForce.Revision:
		out.note(NoteStoreSmaller, n.inForce.Version, value.Version)
		n.call(StoreRequest{Kind: StoreWrite, Version: n.store.version, Document: n.inForce}, out)
	case value.Revision == n.inForce.Revision && (n.disputed || value.conflicts(n.inForce.Version)):
		rebased, err := n.options.Rebase(value, value.Revision+1)
		if err != nil {
			return false
		}
		out.note(NoteRebased, rebased.Version, value.Version)
		n.call(StoreRequest{Kind: StoreWrite, Version: n.store.version, Document: rebased}, out)
	default:
		return false
	}
	// What is known of the store is used for one write only; the next one needs another read.
	n.store.seen = false
	n.store.nextRead = now
	return true
}

func (n *Node) call(r StoreRequest, out *Output) {
	n.store.call = n.request(r, out)
}

func (n *Node) request(r StoreRequest, out *Output) StoreRequest {
	n.store.seq++
	r.Seq = n.store.seq
	out.Store = append(out.Store, r)
	return r
}
