package store

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"
)

// MemoryStore is an in-memory Store for tests and for a deployment on one machine. It can inject the faults that the
// platform's store can have.
type MemoryStore struct {
	clock Clock

	// mu protects the fields below.
	mu             sync.Mutex
	histories      map[string]*history
	leases         map[string]lease
	faults         faults
	calls          CallCounts
	waitingWatches int
}

type lease struct {
	holder string
	expiry time.Time
}

// NewMemoryStore returns an empty store. Leases and delays use clock.
func NewMemoryStore(clock Clock) *MemoryStore {
	return &MemoryStore{
		clock:     clock,
		histories: make(map[string]*history),
		leases:    make(map[string]lease),
	}
}

// Calls returns the counts of the calls so far.
func (m *MemoryStore) Calls() CallCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// WaitingWatches returns the number of watches that are currently blocked.
func (m *MemoryStore) WaitingWatches() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waitingWatches
}

// Get implements Store.
func (m *MemoryStore) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.startCall(ctx, CallGet); err != nil {
		return Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.down {
		return Entry{}, ErrUnavailable
	}
	entry, ok := m.history(key).beforeLast(m.faults.staleWrites)
	if !ok {
		return Entry{}, ErrNotFound
	}
	return entry.clone(), nil
}

// CompareAndSwap implements Store.
func (m *MemoryStore) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (Entry, error) {
	if err := m.startCall(ctx, CallCompareAndSwap); err != nil {
		return Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.down {
		return Entry{}, ErrUnavailable
	}
	if len(value) > MaxValueBytes {
		return Entry{}, ErrTooLarge
	}
	h := m.history(key)
	if h.version() != version {
		return Entry{}, ErrConflict
	}
	entry := Entry{Key: key, Value: bytes.Clone(value), Version: h.maxVersion + 1}
	h.add(entry, m.clock.Now())
	return entry.clone(), m.writeResult()
}

// Watch implements Store.
func (m *MemoryStore) Watch(ctx context.Context, key string, version uint64) (Entry, error) {
	if err := m.startCall(ctx, CallWatch); err != nil {
		return Entry{}, err
	}
	m.addWaitingWatches(1)
	defer m.addWaitingWatches(-1)
	for {
		view, err := m.watchView(key, version)
		if err != nil || view.found {
			return view.entry, err
		}
		select {
		case <-ctx.Done():
			return Entry{}, wrapUnavailable(ctx.Err())
		case <-view.changed:
		case <-view.lagElapsed:
		}
	}
}

// Acquire implements Store.
func (m *MemoryStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) error {
	if err := m.startCall(ctx, CallAcquire); err != nil {
		return err
	}
	return m.setLease(name, holder, ttl, func(l lease, held bool) error {
		if held && l.holder != holder {
			return ErrConflict
		}
		return nil
	})
}

// Renew implements Store.
func (m *MemoryStore) Renew(ctx context.Context, name, holder string, ttl time.Duration) error {
	if err := m.startCall(ctx, CallRenew); err != nil {
		return err
	}
	return m.setLease(name, holder, ttl, func(l lease, held bool) error {
		if !held || l.holder != holder {
			return ErrLeaseLost
		}
		return nil
	})
}

// setLease grants or extends a lease if check, which receives the current lease and whether it is held, returns nil.
func (m *MemoryStore) setLease(name, holder string, ttl time.Duration, check func(lease, bool) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.down {
		return ErrUnavailable
	}
	now := m.clock.Now()
	l, ok := m.leases[name]
	if err := check(l, ok && now.Before(l.expiry)); err != nil {
		return err
	}
	m.leases[name] = lease{holder: holder, expiry: now.Add(ttl)}
	return m.writeResult()
}

// startCall counts the call and waits for the injected delay.
func (m *MemoryStore) startCall(ctx context.Context, call Call) error {
	m.mu.Lock()
	m.calls.add(call)
	delay := m.faults.delay
	m.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return wrapUnavailable(err)
	}
	if delay == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return wrapUnavailable(ctx.Err())
	case <-m.clock.After(delay(call)):
		return nil
	}
}

// writeResult returns the error to report for a write that took effect: ErrUnavailable if its response is to be
// lost. The caller holds mu.
func (m *MemoryStore) writeResult() error {
	if m.faults.dropResponses == 0 {
		return nil
	}
	m.faults.dropResponses--
	return ErrUnavailable
}

// history returns the history of key and creates it if needed. The caller holds mu.
func (m *MemoryStore) history(key string) *history {
	h, ok := m.histories[key]
	if !ok {
		h = newHistory()
		m.histories[key] = h
	}
	return h
}

func (m *MemoryStore) addWaitingWatches(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waitingWatches += n
}

func (e Entry) clone() Entry {
	e.Value = bytes.Clone(e.Value)
	return e
}

// wrapUnavailable returns the error of a call that was interrupted by cause, such as the end of its context. It matches
// both cause and ErrUnavailable, because a write may have taken effect.
func wrapUnavailable(cause error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}
