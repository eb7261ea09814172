package cell

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

type recoveryPhase int

const (
	recoveryIdle recoveryPhase = iota
	recoveryReading
	recoveryPolling
	recoveryPromising
	recoveryWriting
)

// recovery is an attempt of this gateway to start the cell, or to recover it from the loss of holder and successor
// (A8).
type recovery struct {
	phase recoveryPhase
	// round numbers the attempts, so that a late result of an earlier one is ignored.
	round    uint64
	deadline time.Duration
	retryAt  time.Duration
	// targetGeneration is the generation to write. recordVersion is the store version of the record that was read
	// before the polls.
	targetGeneration uint64
	recordVersion    uint64
	// highestPromise is the greatest generation that any member promised.
	highestPromise uint64
	waiting        map[string]bool
	newestTable    *table
}

// abandon ends the attempt. A write that is still in progress then gives no authority.
func (r *recovery) abandon() {
	r.phase = recoveryIdle
	r.round++
}

func (n *Node) retryRecovery(now time.Duration) {
	n.recovery.abandon()
	n.recovery.retryAt = now + time.Duration(n.random.Int64N(int64(maxPollBackoff)))
}

// hasNoAuthority reports whether this gateway holds no authority and may promise to take none (A8).
func (n *Node) hasNoAuthority(now time.Duration) bool {
	switch {
	case n.config == nil:
		return false
	case n.holder != nil:
		return now-claimTimeout > n.holder.authorityEnd
	case n.successor != nil:
		return n.successor.claim != nil && now-n.successor.claim.startedAt > claimTimeout
	case n.holderLive(now):
		return false
	}
	return now >= n.local.leaseEnd
}

func (n *Node) tickRecovery(now time.Duration) {
	r := &n.recovery
	if n.holder != nil && n.Acting(now) || n.leaving || !n.isConfigured(n.self.Host) || n.holderLive(now) {
		if r.phase != recoveryIdle {
			r.abandon()
		}
		return
	}
	switch {
	case r.phase != recoveryIdle && now > r.deadline:
		n.retryRecovery(now)
	case r.phase == recoveryIdle && now >= r.retryAt && now-n.holderLink.receivedAt > locateTimeout && n.hasNoAuthority(now):
		n.startRecovery(now)
	}
}

// forCurrentRound wraps a callback so that it ignores results of an abandoned attempt and retries the recovery after
// errors.
func (n *Node) forCurrentRound(f func(now time.Duration, r StoreResult)) func(time.Duration, StoreResult) {
	round := n.recovery.round
	return func(now time.Duration, r StoreResult) {
		if n.recovery.round != round {
			return
		}
		if r.Err != nil && !errors.Is(r.Err, store.ErrNotFound) {
			n.retryRecovery(now)
			return
		}
		f(now, r)
	}
}

// startRecovery checks the configuration in the store and reads the record. The record is read before the polls, so
// that the write fails if a member gains authority after it answered.
func (n *Node) startRecovery(now time.Duration) {
	r := &n.recovery
	r.round++
	r.phase, r.deadline = recoveryReading, now+storeTimeout
	r.newestTable = n.table.clone()
	if n.configKey == "" {
		n.readRecord(now)
		return
	}
	n.storeGet(now, n.configKey, n.forCurrentRound(func(now time.Duration, result StoreResult) {
		revision, err := n.configRevision(result.Entry.Value)
		if result.Err == nil && (err != nil || revision > n.config.Revision) {
			n.event("cell/recovery-refused", "", "the store has a later configuration; this gateway must apply it first")
			n.retryRecovery(now)
			return
		}
		n.readRecord(now)
	}))
}

// readRecord reads the cell's record. Without a record the cell starts; otherwise it recovers.
func (n *Node) readRecord(now time.Duration) {
	r := &n.recovery
	n.storeGet(now, n.recordKey(), n.forCurrentRound(func(now time.Duration, result StoreResult) {
		if errors.Is(result.Err, store.ErrNotFound) {
			r.targetGeneration, r.recordVersion = max(1, n.promised), 0
			n.writeGeneration(now)
			return
		}
		record, err := parseRecord(result)
		if err != nil || record.Revision > n.config.Revision {
			n.event("cell/recovery-refused", "", "the record is unreadable or follows a later configuration")
			n.retryRecovery(now)
			return
		}
		r.recordVersion = result.Entry.Version
		r.targetGeneration = max(record.Generation, n.promised, n.pair.Generation, r.highestPromise) + 1
		if record.Pair != nil {
			n.adoptPair(now, pairFromWire(record.Pair))
		}
		if r.phase == recoveryReading {
			n.readTable(now)
		}
	}))
}

func (n *Node) readTable(now time.Duration) {
	r := &n.recovery
	n.storeGet(now, n.tableKey(), n.forCurrentRound(func(now time.Duration, result StoreResult) {
		d := &wire.TableDelta{}
		if result.Err == nil && proto.Unmarshal(result.Entry.Value, d) == nil {
			r.keepNewest(d)
		}
		if n.faults.skipPoll {
			n.writeGeneration(now)
			return
		}
		n.pollMembers(now, recoveryPolling)
	}))
}

// keepNewest replaces the newest known table if d is newer.
func (r *recovery) keepNewest(d *wire.TableDelta) {
	if d == nil || !d.Whole || r.newestTable.newer(d.Generation, d.To) || validateDelta(d) != nil {
		return
	}
	t := newTable()
	if changed, err := t.apply(d); err == nil && changed {
		r.newestTable = t
	}
}

// writeGeneration writes the generation by compare-and-swap. If the response is lost, it reads the record to learn the
// result.
func (n *Node) writeGeneration(now time.Duration) {
	r := &n.recovery
	r.phase, r.deadline = recoveryWriting, now+2*storeTimeout
	if n.promised < r.targetGeneration {
		n.promise(now, r.targetGeneration, n.self)
	}
	record := &wire.CellRecord{Generation: r.targetGeneration, Owner: n.self.toWire(), Revision: n.config.Revision}
	round := r.round
	n.storeSwap(now, n.recordKey(), r.recordVersion, marshalRecord(record), func(now time.Duration, result StoreResult) {
		if r.round != round {
			return
		}
		switch {
		case result.Err == nil:
			n.completeRecovery(now)
		case errors.Is(result.Err, store.ErrUnavailable):
			n.verifyGeneration(now)
		default:
			n.retryRecovery(now)
		}
	})
}

func (n *Node) verifyGeneration(now time.Duration) {
	r := &n.recovery
	n.storeGet(now, n.recordKey(), n.forCurrentRound(func(now time.Duration, result StoreResult) {
		record, err := parseRecord(result)
		if err == nil && record.Generation == r.targetGeneration && memberFromWire(record.Owner) == n.self {
			n.completeRecovery(now)
			return
		}
		n.retryRecovery(now)
	}))
}

// completeRecovery makes this gateway the sole authority of the generation that it wrote. It gives no lease and moves
// nothing until every lease that an earlier authority may have given has ended (A8).
func (n *Node) completeRecovery(now time.Duration) {
	r := &n.recovery
	target, recovered := r.targetGeneration, r.newestTable
	r.abandon()
	if n.promised > target || n.promised == target && n.promisedTo != n.self {
		return
	}
	recovered.generation = target
	recovered.version++
	if recovered.revision < n.config.Revision {
		recovered.clearOwners()
	}
	h := newHolderState(now, recovered)
	wait := withDrift(AuthorityLease+HomeLease) + MaxClockSkew + n.maxExcessRunTime()
	if n.faults.skipRecoveryWait {
		wait = 0
	}
	h.noLeaseUntil, h.noMoveUntil = now+wait, now+wait
	n.holder = h
	n.acknowledged = 0
	n.clearHomes()
	n.promote(now, Epoch{Generation: target, Term: 1})
}

// clearHomes removes the homes of earlier generations, whose leases have ended when the wait of A8 ends.
func (n *Node) clearHomes() {
	t := n.holder.tableLog.table
	for _, name := range t.serverNames() {
		e := *t.servers[name]
		e.home, e.releasing = Member{}, false
		n.holder.tableLog.putServer(e)
		t.forEachUnitOf(name, func(u unit, owner Owner) {
			if owner.Releasing {
				n.holder.tableLog.putOwner(u, Owner{Token: owner.Token})
			}
		})
	}
}
