package store

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"
)

// MemoryStore is the stand-in of the platform's store. Its switches cause the faults that the store can have.
type MemoryStore struct {
	clock Clock

	// mu protects the fields below.
	mu      sync.Mutex
	records map[string]*record
	leases  map[string]lease
	faults  faults
	calls   CallCounts
	waiting int
}

type lease struct {
	holder string
	end    time.Time
}

// NewMemoryStore returns an empty stand-in. Leases and delays follow clock.
func NewMemoryStore(clock Clock) *MemoryStore {
	return &MemoryStore{
		clock:   clock,
		records: make(map[string]*record),
		leases:  make(map[string]lease),
	}
}

// Calls returns the calls so far.
func (m *MemoryStore) Calls() CallCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// WaitingWatches returns the number of watches that wait at this moment.
func (m *MemoryStore) WaitingWatches() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting
}

// Get implements Store.
func (m *MemoryStore) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.begin(ctx, CallGet); err != nil {
		return Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.down {
		return Entry{}, ErrUnavailable
	}
	entry, ok := m.record(key).behind(m.faults.staleness)
	if !ok {
		return Entry{}, ErrNotFound
	}
	return entry.clone(), nil
}

// CompareAndSwap implements Store.
func (m *MemoryStore) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (Entry, error) {
	if err := m.begin(ctx, CallCompareAndSwap); err != nil {
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
	r := m.record(key)
	if r.version() != version {
		return Entry{}, ErrConflict
	}
	entry := Entry{Key: key, Value: bytes.Clone(value), Version: r.highest + 1}
	r.push(entry, m.clock.Now())
	return entry.clone(), m.answer()
}

// Watch implements Store.
func (m *MemoryStore) Watch(ctx context.Context, key string, version uint64) (Entry, error) {
	if err := m.begin(ctx, CallWatch); err != nil {
		return Entry{}, err
	}
	m.addWaiting(1)
	defer m.addWaiting(-1)
	for {
		look, err := m.look(key, version)
		if err != nil || look.found {
			return look.entry, err
		}
		select {
		case <-ctx.Done():
			return Entry{}, wrapUnavailable(ctx.Err())
		case <-look.changed:
		case <-look.due:
		}
	}
}

// Acquire implements Store.
func (m *MemoryStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) error {
	if err := m.begin(ctx, CallAcquire); err != nil {
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
	if err := m.begin(ctx, CallRenew); err != nil {
		return err
	}
	return m.setLease(name, holder, ttl, func(l lease, held bool) error {
		if !held || l.holder != holder {
			return ErrLeaseLost
		}
		return nil
	})
}

func (m *MemoryStore) setLease(name, holder string, ttl time.Duration, allow func(lease, bool) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.down {
		return ErrUnavailable
	}
	now := m.clock.Now()
	l, ok := m.leases[name]
	if err := allow(l, ok && now.Before(l.end)); err != nil {
		return err
	}
	m.leases[name] = lease{holder: holder, end: now.Add(ttl)}
	return m.answer()
}

// begin counts the call and waits for its delay.
func (m *MemoryStore) begin(ctx context.Context, call Call) error {
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

// answer returns the error of a write that took effect. The caller holds mu.
func (m *MemoryStore) answer() error {
	if m.faults.loseNext == 0 {
		return nil
	}
	m.faults.loseNext--
	return ErrUnavailable
}

// record returns the history of key. The caller holds mu.
func (m *MemoryStore) record(key string) *record {
	r, ok := m.records[key]
	if !ok {
		r = newRecord()
		m.records[key] = r
	}
	return r
}

func (m *MemoryStore) addWaiting(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting += n
}

func (e Entry) clone() Entry {
	e.Value = bytes.Clone(e.Value)
	return e
}

// wrapUnavailable returns the error of a call that ended with its context. It is both cause and ErrUnavailable,
// because a write may have taken effect.
func wrapUnavailable(cause error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}
