package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// StoreRequest asks the caller for one call of the store. Each request gets one StoreResult with its ID; the
// node copes with a result that never comes.
type StoreRequest struct {
	ID uint64
	// Write is true for a compare-and-swap, false for a read.
	Write bool
	Key   string
	// Version and Value are those of the compare-and-swap.
	Version uint64
	Value   []byte
}

// StoreResult is the result of a StoreRequest. Err is one of the errors of package store, or nil.
type StoreResult struct {
	ID    uint64
	Entry store.Entry
	Err   error
}

type storeCall struct {
	deadline time.Duration
	done     func(now time.Duration, r StoreResult)
}

// storeCalls holds the requests that wait for a result.
type storeCalls struct {
	last    uint64
	waiting map[uint64]storeCall
	// answeredAt is the time of the last result that shows that the store works; failedAt that of the last failure.
	answeredAt time.Duration
	failedAt   time.Duration
	answered   bool
}

func newStoreCalls() storeCalls {
	return storeCalls{waiting: make(map[uint64]storeCall)}
}

// alive reports whether the store answered recently and did not fail since.
func (s *storeCalls) alive(now time.Duration) bool {
	return s.answered && s.answeredAt >= s.failedAt && now-s.answeredAt < storeFresh
}

func (n *Node) storeGet(now time.Duration, key string, done func(time.Duration, StoreResult)) {
	n.storeRequest(now, StoreRequest{Key: key}, done)
}

func (n *Node) storeSwap(now time.Duration, key string, version uint64, value []byte, done func(time.Duration, StoreResult)) {
	n.storeRequest(now, StoreRequest{Write: true, Key: key, Version: version, Value: value}, done)
}

func (n *Node) storeRequest(now time.Duration, r StoreRequest, done func(time.Duration, StoreResult)) {
	n.store.last++
	r.ID = n.store.last
	n.store.waiting[r.ID] = storeCall{deadline: now + storeTimeout, done: done}
	n.counters.StoreCalls++
	n.out.Store = append(n.out.Store, r)
}

// StoreResult takes the result of a store request.
func (n *Node) StoreResult(now time.Duration, r StoreResult) Output {
	call, ok := n.store.waiting[r.ID]
	if !ok || n.Role() == RoleStopped {
		return n.finish(now)
	}
	delete(n.store.waiting, r.ID)
	if storeAnswered(r.Err) {
		n.store.answeredAt, n.store.answered = now, true
	} else {
		n.store.failedAt = now
	}
	call.done(now, r)
	return n.finish(now)
}

func storeAnswered(err error) bool {
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict)
}

// tickStore fails requests whose result did not come.
func (n *Node) tickStore(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(n.store.waiting)) {
		call := n.store.waiting[id]
		if now < call.deadline {
			continue
		}
		delete(n.store.waiting, id)
		n.store.failedAt = now
		call.done(now, StoreResult{ID: id, Err: store.ErrUnavailable})
	}
}

func (n *Node) recordKey() string { return "cells/" + n.cell }
func (n *Node) tableKey() string  { return "cells/" + n.cell + "/table" }
func (n *Node) claimsKey() string { return "cells/" + n.cell + "/claims" }
