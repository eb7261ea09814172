package store

import "time"

// faults are the switches of the stand-in.
type faults struct {
	down      bool
	delay     func(Call) time.Duration
	loseNext  int
	watchLag  time.Duration
	staleness int
}

// SetDown makes every call fail with ErrUnavailable, also the waiting watches, until it is switched off.
func (m *MemoryStore) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.down = down
	m.wakeAll()
}

// SetDelay makes each call wait for delay(kind) before it takes effect. Nil switches the delay off.
func (m *MemoryStore) SetDelay(delay func(Call) time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.delay = delay
}

// DropResponses makes the next n writes (compare-and-swap, acquire, renew) take effect and return
// ErrUnavailable.
func (m *MemoryStore) DropResponses(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.loseNext = n
}

// SetWatchLag makes watches see each write only after lag.
func (m *MemoryStore) SetWatchLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.watchLag = lag
	m.wakeAll()
}

// SetStaleReads makes Get return the value from before the last n writes of the key. 0 switches it off.
func (m *MemoryStore) SetStaleReads(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.staleness = n
}

// Restore puts the key back to the value and version that it had at version, as a restored backup does. It
// returns ErrNotFound if the stand-in no longer has that version. Later writes get versions above all earlier
// ones.
func (m *MemoryStore) Restore(key string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.record(key)
	entry, ok := r.find(version)
	if !ok {
		return ErrNotFound
	}
	r.push(entry, m.clock.Now())
	return nil
}

// Peek returns the entry from before the last n writes of the key, without a call and whatever the switches say.
func (m *MemoryStore) Peek(key string, n int) (Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.record(key).behind(n)
	if !ok {
		return Entry{}, ErrNotFound
	}
	return entry.clone(), nil
}

// ExpireLease ends the lease at once, as if its holder had been paused for longer than its time to live.
func (m *MemoryStore) ExpireLease(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leases, name)
}

// wakeAll lets all waiting watches look at the switches again. The caller holds mu.
func (m *MemoryStore) wakeAll() {
	for _, r := range m.records {
		r.signal()
	}
}
