package cell

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// tableWriteState is the state of the holder's writes of the table to the store.
type tableWriteState struct {
	busy         bool
	entryKnown   bool
	entryVersion uint64
	writtenAt    time.Duration
	// writtenGeneration and writtenVersion identify the table that the store has.
	writtenGeneration uint64
	writtenVersion    uint64
}

// recordWriteState is the state of the holder's writes of the cell's record to the store.
type recordWriteState struct {
	busy    bool
	triedAt time.Duration
	tried   bool
	written Pair
}

// writeStore keeps the record and the table in the store up to date. Changes during a write are covered by the next
// one.
func (n *Node) writeStore(now time.Duration) {
	h := n.holder
	if r := &h.recordWrite; !r.busy && !h.raisingGeneration && !h.installing && r.written != n.pair && (!r.tried || now-r.triedAt >= storeRetryInterval) {
		r.busy, r.tried, r.triedAt = true, true, now
		n.writeRecord(now, h, n.pair)
	}
	t := &h.tableWrite
	if t.busy || now-t.writtenAt < tableWriteInterval {
		return
	}
	if t.writtenGeneration == n.table.generation && t.writtenVersion == n.table.version {
		return
	}
	t.busy, t.writtenAt = true, now
	if t.entryKnown {
		n.writeTable(now, h)
		return
	}
	n.storeGet(now, n.tableKey(), func(now time.Duration, r StoreResult) {
		t.busy = false
		if n.holder != h || r.Err != nil && !errors.Is(r.Err, store.ErrNotFound) {
			return
		}
		stored := &wire.TableDelta{}
		if err := proto.Unmarshal(r.Entry.Value, stored); err == nil && stored.Generation > n.pair.Generation {
			return
		}
		t.entryKnown, t.entryVersion = true, r.Entry.Version
		t.busy = true
		n.writeTable(now, h)
	})
}

func (n *Node) writeTable(now time.Duration, h *holderState) {
	t := &h.tableWrite
	generation, version := n.table.generation, n.table.version
	value, err := proto.Marshal(n.table.wholeDelta())
	if err != nil || len(value) > store.MaxValueBytes {
		t.busy = false
		n.event("cell/table-too-large", "", "the table exceeds the size limit of a store value; use fewer partitions")
		return
	}
	n.storeSwap(now, n.tableKey(), t.entryVersion, value, func(_ time.Duration, r StoreResult) {
		t.busy = false
		if r.Err != nil {
			t.entryKnown = false
			return
		}
		t.entryVersion = r.Entry.Version
		t.writtenGeneration, t.writtenVersion = generation, version
		if n.holder == h && n.table.generation == generation && version > n.acknowledged {
			n.acknowledged = version
			n.snapshotOutdated = true
		}
	})
}

// writeRecord writes the pair, unless the record has another generation, which shows that another authority exists.
func (n *Node) writeRecord(now time.Duration, h *holderState, p Pair) {
	done := func() { h.recordWrite.busy = false }
	n.storeGet(now, n.recordKey(), func(now time.Duration, r StoreResult) {
		record, err := parseRecord(r)
		if n.holder != h || err != nil || record.Generation != p.Generation {
			done()
			return
		}
		record.Pair = p.toWire()
		record.Revision = max(record.Revision, n.config.Revision)
		n.storeSwap(now, n.recordKey(), r.Entry.Version, marshalRecord(record), func(_ time.Duration, r StoreResult) {
			done()
			if r.Err == nil {
				h.recordWrite.written = p
			}
		})
	})
}

func parseRecord(r StoreResult) (*wire.CellRecord, error) {
	if r.Err != nil {
		return nil, r.Err
	}
	record := &wire.CellRecord{}
	return record, errors.Wrap(proto.Unmarshal(r.Entry.Value, record), "parse record of the cell")
}

func marshalRecord(r *wire.CellRecord) []byte {
	// Marshal cannot fail: the message has no required fields and its strings are valid.
	value, _ := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	return value
}

// raiseGeneration raises the generation of a solo holder to one that members promised to an unfinished recovery.
// Without it those members could not become successor. No recovery can finish meanwhile, because it needs the promise
// of this holder.
func (n *Node) raiseGeneration(now time.Duration, target uint64) {
	h := n.holder
	h.raisingGeneration = true
	n.storeGet(now, n.recordKey(), func(now time.Duration, r StoreResult) {
		record, err := parseRecord(r)
		if n.holder != h || err != nil || !n.pair.Successor.IsZero() {
			h.raisingGeneration = false
			return
		}
		if record.Generation > n.pair.Generation {
			h.raisingGeneration = false
			if memberFromWire(record.Owner) == n.self {
				n.continueInGeneration(now, record.Generation)
			}
			return
		}
		record.Generation = target
		record.Owner = n.self.toWire()
		record.Pair = nil
		n.storeSwap(now, n.recordKey(), r.Entry.Version, marshalRecord(record), func(now time.Duration, r StoreResult) {
			h.raisingGeneration = false
			if r.Err != nil || n.holder != h || !n.pair.Successor.IsZero() {
				return
			}
			n.continueInGeneration(now, target)
		})
	})
}

// continueInGeneration continues a solo authority in a greater generation.
func (n *Node) continueInGeneration(now time.Duration, generation uint64) {
	h := n.holder
	n.event("cell/generation-raised", "", "members had promised a later generation to a recovery that did not finish")
	h.tableLog.seal()
	t := h.tableLog.table
	t.generation = generation
	t.version++
	h.tableLog = newTableLog(t)
	h.committedVersion = t.version
	n.acknowledged = 0
	n.promote(now, Epoch{Generation: generation, Term: n.pair.Term})
}
