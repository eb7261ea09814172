package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// StoreRequest asks the caller to make one request to the store. The caller should return one StoreResult with its ID.
// A request without a result fails after a time-out.
type StoreRequest struct {
	ID uint64
	// Write is true for a compare-and-swap, false for a read.
	Write bool
	Key   string
	// Version and Value are those of the compare-and-swap.
	Version uint64
	Value   []byte
}

// StoreResult is the result of a StoreRequest. Err is nil or one of the errors of package store.
type StoreResult struct {
	ID    uint64
	Entry store.Entry
	Err   error
}

type storeCall struct {
	deadline time.Duration
	done     func(now time.Duration, r StoreResult)
}

// storeCalls holds the requests without a result, and when the store was last seen to work or fail.
type storeCalls struct {
	lastID  uint64
	pending map[uint64]storeCall
	// answeredAt is the time of the last result that shows that the store is available, and failedAt that of the last
	// failure.
	answeredAt time.Duration
	failedAt   time.Duration
	answered   bool
}

func newStoreCalls() storeCalls {
	return storeCalls{pending: make(map[uint64]storeCall)}
}

// alive reports whether the store answered within storeMaxAge and has not failed since.
func (s *storeCalls) alive(now time.Duration) bool {
	return s.answered && s.answeredAt >= s.failedAt && now-s.answeredAt < storeMaxAge
}

func (n *Node) storeGet(now time.Duration, key string, done func(time.Duration, StoreResult)) {
	n.storeRequest(now, StoreRequest{Key: key}, done)
}

func (n *Node) storeSwap(now time.Duration, key string, version uint64, value []byte, done func(time.Duration, StoreResult)) {
	n.storeRequest(now, StoreRequest{Write: true, Key: key, Version: version, Value: value}, done)
}

func (n *Node) storeRequest(now time.Duration, r StoreRequest, done func(time.Duration, StoreResult)) {
	n.store.lastID++
	r.ID = n.store.lastID
	n.store.pending[r.ID] = storeCall{deadline: now + storeTimeout, done: done}
	n.counters.StoreCalls++
	n.out.Store = append(n.out.Store, r)
}

// HandleStoreResult applies the result of a store request.
func (n *Node) HandleStoreResult(now time.Duration, r StoreResult) Output {
	call, ok := n.store.pending[r.ID]
	if !ok || n.Role() == RoleStopped {
		return n.finish(now)
	}
	delete(n.store.pending, r.ID)
	if isStoreResponse(r.Err) {
		n.store.answeredAt, n.store.answered = now, true
	} else {
		n.store.failedAt = now
	}
	call.done(now, r)
	return n.finish(now)
}

// isStoreResponse reports whether err is nil or an error that only an available store returns.
func isStoreResponse(err error) bool {
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict)
}

// tickStore fails the requests whose deadline passed without a result.
func (n *Node) tickStore(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(n.store.pending)) {
		call := n.store.pending[id]
		if now < call.deadline {
			continue
		}
		delete(n.store.pending, id)
		n.store.failedAt = now
		call.done(now, StoreResult{ID: id, Err: store.ErrUnavailable})
	}
}

func (n *Node) recordKey() string { return "cells/" + n.cell }
func (n *Node) tableKey() string  { return "cells/" + n.cell + "/table" }
func (n *Node) claimsKey() string { return "cells/" + n.cell + "/claims" }
