package store

import "time"

// faults is the fault injection state of the in-memory store.
type faults struct {
	down          bool
	delay         func(Call) time.Duration
	dropResponses int
	watchLag      time.Duration
	staleWrites   int
}

// SetDown simulates an outage: while down is true, every call fails with ErrUnavailable, including watches that are
// already blocked.
func (m *MemoryStore) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.down = down
	m.notifyAllWatches()
}

// SetDelay delays each call by delay(call) before it takes effect. Nil removes the delay.
func (m *MemoryStore) SetDelay(delay func(Call) time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.delay = delay
}

// DropResponses simulates lost responses: the next n writes (compare-and-swap, acquire, renew) take effect but return
// ErrUnavailable.
func (m *MemoryStore) DropResponses(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.dropResponses = n
}

// SetWatchLag makes each write visible to watches only after lag.
func (m *MemoryStore) SetWatchLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.watchLag = lag
	m.notifyAllWatches()
}

// SetStaleReads makes Get return the entry that the key had before its last n writes. 0 restores current reads.
func (m *MemoryStore) SetStaleReads(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.staleWrites = n
}

// Restore resets the key to the given version and its value, as restoring a backup does. It returns ErrNotFound if
// that version is no longer in the history. Later writes get versions above all earlier ones.
func (m *MemoryStore) Restore(key string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.history(key)
	entry, ok := h.findVersion(version)
	if !ok {
		return ErrNotFound
	}
	h.add(entry, m.clock.Now())
	return nil
}

// Peek returns the entry that the key had before its last n writes. It is not counted as a call and ignores injected
// faults.
func (m *MemoryStore) Peek(key string, n int) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.history(key).beforeLast(n)
	if !ok {
		return Entry{}, ErrNotFound
	}
	return entry.clone(), nil
}

// ExpireLease expires the lease immediately, as if its holder had been paused for longer than the TTL.
func (m *MemoryStore) ExpireLease(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leases, name)
}

// notifyAllWatches makes all blocked watches re-evaluate the injected faults. The caller holds mu.
func (m *MemoryStore) notifyAllWatches() {
	for _, h := range m.histories {
		h.notifyWatches()
	}
}
