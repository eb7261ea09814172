package kv

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// MemoryStore is an in-memory store for tests, including the soak test.
type MemoryStore struct {
	// mu protects the fields below.
	mu       sync.Mutex
	era      Era
	revision int64
	items    map[string]Item
	history  []Event
	// compacted is the revision up to which the history was discarded.
	compacted int64
	leases    map[LeaseID]*memoryLease
	nextLease LeaseID
	// changed is closed by the next change and then replaced.
	changed chan struct{}
}

type memoryLease struct {
	ttl   time.Duration
	timer *time.Timer
}

var _ Store = (*MemoryStore)(nil)

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{
		revision:  1,
		items:     make(map[string]Item),
		leases:    make(map[LeaseID]*memoryLease),
		nextLease: 1,
		changed:   make(chan struct{}),
	}
}

// List implements Store.
func (m *MemoryStore) List(ctx context.Context, prefix string) (Listing, error) {
	if err := ctx.Err(); err != nil {
		return Listing{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	listing := Listing{AsOf: m.asOf()}
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			listing.Items = append(listing.Items, item)
		}
	}
	slices.SortFunc(listing.Items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return listing, nil
}

// Watch implements Store.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := m.eventsAfter(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return Changes{}, ctx.Err()
		case <-timer.C:
			return changes, nil
		case <-changed:
		}
	}
}

// eventsAfter returns the events after a revision, and a channel that is closed by the next change.
func (m *MemoryStore) eventsAfter(prefix string, after Revision) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Era != m.era || after.Number < m.compacted || after.Number > m.revision {
		return Changes{}, nil, ErrCompacted
	}
	changes := Changes{AsOf: m.asOf()}
	for _, event := range m.history {
		if after.Before(event.Revision) && strings.HasPrefix(event.Key, prefix) {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, m.changed, nil
}

// Get implements Store.
func (m *MemoryStore) Get(ctx context.Context, key string) (Item, error) {
	if err := ctx.Err(); err != nil {
		return Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	if !ok {
		return Item{}, ErrNotFound
	}
	return item, nil
}

// Commit implements Store.
func (m *MemoryStore) Commit(ctx context.Context, txn Txn) (Revision, error) {
	if err := ctx.Err(); err != nil {
		return Revision{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, condition := range txn.Conditions {
		if m.items[condition.Key].Revision != condition.Revision {
			return Revision{}, ErrConflict
		}
	}
	for _, put := range txn.Puts {
		if put.Lease != 0 && m.leases[put.Lease] == nil {
			return Revision{}, ErrLeaseNotFound
		}
	}
	m.revision++
	for _, put := range txn.Puts {
		m.put(put)
	}
	for _, key := range txn.Deletes {
		m.remove(key)
	}
	m.notifyWatches()
	return m.asOf(), nil
}

// asOf returns the revision of the latest change. The caller must hold mu.
func (m *MemoryStore) asOf() Revision { return Revision{Era: m.era, Number: m.revision} }

func (m *MemoryStore) put(put Put) {
	item := Item{Key: put.Key, Value: slices.Clone(put.Value), Revision: m.asOf(), Created: m.asOf(), Lease: put.Lease}
	if previous, ok := m.items[put.Key]; ok {
		item.Created = previous.Created
	}
	m.items[put.Key] = item
	m.history = append(m.history, Event{Item: item})
}

func (m *MemoryStore) remove(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	m.history = append(m.history, Event{Item: Item{Key: key, Revision: m.asOf()}, Deleted: true})
}

// notifyWatches wakes all waiting watches.
func (m *MemoryStore) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// GrantLease implements Store.
func (m *MemoryStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.nextLease
	m.nextLease++
	m.addLease(id, ttl)
	return id, nil
}

// addLease adds a lease that begins now. The caller must hold mu.
func (m *MemoryStore) addLease(id LeaseID, ttl time.Duration) {
	m.leases[id] = &memoryLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { m.removeLease(id) })}
}

// RenewLease implements Store.
func (m *MemoryStore) RenewLease(ctx context.Context, id LeaseID) (Era, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lease := m.leases[id]
	if lease == nil {
		return m.era, ErrLeaseNotFound
	}
	lease.timer.Reset(lease.ttl)
	return m.era, nil
}

// RevokeLease implements Store.
func (m *MemoryStore) RevokeLease(ctx context.Context, id LeaseID) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !m.removeLease(id) {
		return ErrLeaseNotFound
	}
	return nil
}

// removeLease removes a lease and its keys, and reports whether the lease existed.
func (m *MemoryStore) removeLease(id LeaseID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	lease := m.leases[id]
	if lease == nil {
		return false
	}
	lease.timer.Stop()
	delete(m.leases, id)
	m.revision++
	for key, item := range m.items {
		if item.Lease == id {
			m.remove(key)
		}
	}
	m.notifyWatches()
	return true
}

// Compact discards the history.
func (m *MemoryStore) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.compacted = m.revision
	m.notifyWatches()
}
