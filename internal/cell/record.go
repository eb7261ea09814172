package cell

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// tableStore is the state of the holder's writes of the table to the store.
type tableStore struct {
	busy      bool
	known     bool
	version   uint64
	writtenAt time.Duration
	// generation and through name the table that the store has.
	generation uint64
	through    uint64
}

// recordStore is the state of the holder's writes of the cell's record to the store.
type recordStore struct {
	busy    bool
	triedAt time.Duration
	tried   bool
	written Pair
}

// writeStore keeps record and table in the store up to date. Both are coalesced.
func (n *Node) writeStore(now time.Duration) {
	h := n.holder
	if r := &h.record; !r.busy && !h.raising && !h.installing && r.written != n.pair && (!r.tried || now-r.triedAt >= storeBackoff) {
		r.busy, r.tried, r.triedAt = true, true, now
		n.writeRecord(now, h, n.pair)
	}
	t := &h.tableStore
	if t.busy || now-t.writtenAt < tableWriteInterval {
		return
	}
	if t.generation == n.table.generation && t.through == n.table.version {
		return
	}
	t.busy, t.writtenAt = true, now
	if t.known {
		n.swapTable(now, h)
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
		t.known, t.version = true, r.Entry.Version
		t.busy = true
		n.swapTable(now, h)
	})
}

func (n *Node) swapTable(now time.Duration, h *holderState) {
	t := &h.tableStore
	generation, version := n.table.generation, n.table.version
	value, err := proto.Marshal(n.table.whole())
	if err != nil || len(value) > store.MaxValueBytes {
		t.busy = false
		n.event("cell/table-too-large", "", "the table exceeds a store value; use fewer partitions")
		return
	}
	n.storeSwap(now, n.tableKey(), t.version, value, func(_ time.Duration, r StoreResult) {
		t.busy = false
		if r.Err != nil {
			t.known = false
			return
		}
		t.version = r.Entry.Version
		t.generation, t.through = generation, version
		if n.holder == h && n.table.generation == generation && version > n.acknowledged {
			n.acknowledged = version
			n.changed = true
		}
	})
}

// writeRecord writes the pair, unless the record shows a later generation: then another authority exists.
func (n *Node) writeRecord(now time.Duration, h *holderState, p Pair) {
	done := func() { h.record.busy = false }
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
				h.record.written = p
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

// raise lifts the generation of a solo holder above what members promised to a recovery that did not finish.
// Without it they could not become successor. A recovery cannot finish meanwhile: it needs this holder's promise.
func (n *Node) raise(now time.Duration, target uint64) {
	h := n.holder
	h.raising = true
	n.storeGet(now, n.recordKey(), func(now time.Duration, r StoreResult) {
		record, err := parseRecord(r)
		if n.holder != h || err != nil || !n.pair.Successor.IsZero() {
			h.raising = false
			return
		}
		if record.Generation > n.pair.Generation {
			h.raising = false
			if memberFrom(record.Owner) == n.self {
				n.rebase(now, record.Generation)
			}
			return
		}
		record.Generation = target
		record.Owner = n.self.toWire()
		record.Pair = nil
		n.storeSwap(now, n.recordKey(), r.Entry.Version, marshalRecord(record), func(now time.Duration, r StoreResult) {
			h.raising = false
			if r.Err != nil || n.holder != h || !n.pair.Successor.IsZero() {
				return
			}
			n.rebase(now, target)
		})
	})
}

// rebase continues a solo authority in a greater generation.
func (n *Node) rebase(now time.Duration, generation uint64) {
	h := n.holder
	h.ledger.seal()
	t := h.ledger.table
	t.generation = generation
	t.version++
	h.ledger = newLedger(t)
	h.committed = t.version
	n.acknowledged = 0
	n.promote(now, Epoch{Generation: generation, Term: n.pair.Term})
}
