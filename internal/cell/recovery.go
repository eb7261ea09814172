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

// recovery is the start of a cell, or its recovery from the loss of the pair, by this gateway (A8).
type recovery struct {
	phase recoveryPhase
	// round distinguishes attempts, so that a late result of an earlier one is ignored.
	round    uint64
	deadline time.Duration
	nextAt   time.Duration
	// target is the generation to write, version the version of the record that was read before the polls.
	target  uint64
	version uint64
	// floor is the greatest generation that any member promised.
	floor   uint64
	waiting map[string]bool
	best    *table
}

// abandon ends the attempt. A write that is still under way then gives no authority.
func (r *recovery) abandon() {
	r.phase = recoveryIdle
	r.round++
}

func (n *Node) retryRecovery(now time.Duration) {
	n.recovery.abandon()
	n.recovery.nextAt = now + time.Duration(n.random.Int64N(int64(pollBackoffMax)))
}

// free reports whether this gateway holds no authority and may promise to take none (A8).
func (n *Node) free(now time.Duration) bool {
	switch {
	case n.config == nil:
		return false
	case n.holder != nil:
		return now-giveUpAfter > n.holder.authorityEnd
	case n.successor != nil:
		return n.successor.claim != nil && now-n.successor.claim.since > giveUpAfter
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
	case r.phase == recoveryIdle && now >= r.nextAt && now-n.contact.heardAt > locateFor && n.free(now):
		n.startRecovery(now)
	}
}

// guard returns a callback that ignores results of an abandoned attempt and retries after errors.
func (n *Node) guard(f func(now time.Duration, r StoreResult)) func(time.Duration, StoreResult) {
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

// startRecovery reads the record. It is read before the polls, so that a member that gains authority after its
// answer makes the write fail.
func (n *Node) startRecovery(now time.Duration) {
	r := &n.recovery
	r.round++
	r.phase, r.deadline = recoveryReading, now+storeTimeout
	r.best = n.table.clone()
	if n.configKey == "" {
		n.readRecord(now)
		return
	}
	n.storeGet(now, n.configKey, n.guard(func(now time.Duration, result StoreResult) {
		revision, err := n.revision(result.Entry.Value)
		if result.Err == nil && (err != nil || revision > n.config.Revision) {
			n.event("cell/recovery-refused", "", "the store has a later configuration; it must be in force here first")
			n.retryRecovery(now)
			return
		}
		n.readRecord(now)
	}))
}

// readRecord reads the cell's record and decides between a start and a recovery.
func (n *Node) readRecord(now time.Duration) {
	r := &n.recovery
	n.storeGet(now, n.recordKey(), n.guard(func(now time.Duration, result StoreResult) {
		if errors.Is(result.Err, store.ErrNotFound) {
			r.target, r.version = max(1, n.promised), 0
			n.writeGeneration(now)
			return
		}
		record, err := parseRecord(result)
		if err != nil || record.Revision > n.config.Revision {
			n.event("cell/recovery-refused", "", "the record is unreadable or follows a later configuration")
			n.retryRecovery(now)
			return
		}
		r.version = result.Entry.Version
		r.target = max(record.Generation, n.promised, n.pair.Generation, r.floor) + 1
		if record.Pair != nil {
			n.adoptPair(now, pairFrom(record.Pair))
		}
		if r.phase == recoveryReading {
			n.readTable(now)
		}
	}))
}

func (n *Node) readTable(now time.Duration) {
	r := &n.recovery
	n.storeGet(now, n.tableKey(), n.guard(func(now time.Duration, result StoreResult) {
		d := &wire.TableDelta{}
		if result.Err == nil && proto.Unmarshal(result.Entry.Value, d) == nil {
			r.take(d)
		}
		if n.faults.noPoll {
			n.writeGeneration(now)
			return
		}
		n.pollMembers(now, recoveryPolling)
	}))
}

// take keeps the newest table.
func (r *recovery) take(d *wire.TableDelta) {
	if d == nil || !d.Whole || r.best.newer(d.Generation, d.To) || checkDelta(d) != nil {
		return
	}
	t := newTable()
	if changed, err := t.apply(d); err == nil && changed {
		r.best = t
	}
}

// pollMembers asks each other configured member, first whether it is free and then for its promise.
func (n *Node) pollMembers(now time.Duration, phase recoveryPhase) {
	r := &n.recovery
	r.phase, r.deadline = phase, now+pollTimeout
	r.waiting = make(map[string]bool)
	if phase == recoveryPromising {
		n.promise(now, r.target, n.self)
	}
	for _, host := range n.hosts {
		if host.Name == n.self.Host {
			continue
		}
		r.waiting[host.Name] = true
		n.send(Member{Host: host.Name}, &wire.Control{Body: &wire.Control_Poll{Poll: &wire.Poll{
			Target: r.target, Promise: phase == recoveryPromising,
			TableGeneration: r.best.generation, TableVersion: r.best.version,
		}}})
	}
	n.polled(now)
}

func (n *Node) polled(now time.Duration) {
	r := &n.recovery
	if len(r.waiting) > 0 {
		return
	}
	if r.phase == recoveryPolling {
		n.pollMembers(now, recoveryPromising)
		return
	}
	n.writeGeneration(now)
}

// promise gives up every part of an authority below target.
func (n *Node) promise(now time.Duration, target uint64, to Member) {
	n.promised, n.promisedTo = target, to
	n.handover = nil
	if n.holder != nil || n.successor != nil {
		n.demote(now)
	}
}

func (n *Node) onPoll(now time.Duration, from Member, revision uint64, p *wire.Poll) {
	r := &n.recovery
	free := revision >= n.config.Revision && n.free(now)
	if !p.Promise && r.phase >= recoveryPolling && n.self.Host < from.Host {
		free = false
	}
	if p.Promise {
		free = free && (p.Target > n.promised || p.Target == n.promised && n.promisedTo == from)
		if free && !n.faults.noPromise {
			n.promise(now, p.Target, from)
			r.abandon()
			r.nextAt = now + pollTimeout + time.Duration(n.random.Int64N(int64(pollBackoffMax)))
		}
	}
	answer := &wire.PollAnswer{Target: p.Target, Promise: p.Promise, Free: free, Promised: n.promised}
	if n.table.newer(p.TableGeneration, p.TableVersion) {
		answer.Table = n.table.whole()
	}
	n.send(from, &wire.Control{Body: &wire.Control_PollAnswer{PollAnswer: answer}})
}

func (n *Node) onPollAnswer(now time.Duration, from Member, a *wire.PollAnswer) {
	r := &n.recovery
	phase := recoveryPolling
	if a.Promise {
		phase = recoveryPromising
	}
	if r.phase != phase || a.Target != r.target || !r.waiting[from.Host] {
		return
	}
	r.take(a.Table)
	if !a.Free {
		r.floor = max(r.floor, a.Promised)
		n.retryRecovery(now)
		return
	}
	delete(r.waiting, from.Host)
	n.polled(now)
}

// writeGeneration writes the generation by compare-and-swap. A lost response is resolved by reading back.
func (n *Node) writeGeneration(now time.Duration) {
	r := &n.recovery
	r.phase, r.deadline = recoveryWriting, now+2*storeTimeout
	if n.promised < r.target {
		n.promise(now, r.target, n.self)
	}
	record := &wire.CellRecord{Generation: r.target, Owner: n.self.toWire(), Revision: n.config.Revision}
	round := r.round
	n.storeSwap(now, n.recordKey(), r.version, marshalRecord(record), func(now time.Duration, result StoreResult) {
		if r.round != round {
			return
		}
		switch {
		case result.Err == nil:
			n.lead(now)
		case errors.Is(result.Err, store.ErrUnavailable):
			n.readBack(now)
		default:
			n.retryRecovery(now)
		}
	})
}

func (n *Node) readBack(now time.Duration) {
	r := &n.recovery
	n.storeGet(now, n.recordKey(), n.guard(func(now time.Duration, result StoreResult) {
		record, err := parseRecord(result)
		if err == nil && record.Generation == r.target && memberFrom(record.Owner) == n.self {
			n.lead(now)
			return
		}
		n.retryRecovery(now)
	}))
}

// lead makes this gateway the sole authority of the generation that it wrote. It first waits for every lease that
// an earlier authority may have given (A8).
func (n *Node) lead(now time.Duration) {
	r := &n.recovery
	target, best := r.target, r.best
	r.abandon()
	if n.promised > target || n.promised == target && n.promisedTo != n.self {
		return
	}
	best.generation = target
	best.version++
	if best.revision < n.config.Revision {
		best.dropRights()
	}
	h := newHolderState(now, best)
	wait := withDrift(AuthorityLease+HomeLease) + MaxClockSkew + n.maxExcess()
	if n.faults.noRecoveryWait {
		wait = 0
	}
	h.noLeaseUntil, h.noMoveUntil = now+wait, now+wait
	n.holder = h
	n.acknowledged = 0
	n.clearHomes()
	n.promote(now, Epoch{Generation: target, Term: 1})
}

// clearHomes forgets the homes of an earlier generation. They are over when the wait of A8 ends.
func (n *Node) clearHomes() {
	t := n.holder.ledger.table
	for _, name := range t.serverNames() {
		e := *t.servers[name]
		e.home, e.releasing = Member{}, false
		n.holder.ledger.putServer(e)
		t.unitsOf(name, func(u unit, owner Owner) {
			if owner.Releasing {
				n.holder.ledger.putOwner(u, Owner{Token: owner.Token})
			}
		})
	}
}
