package store

import "time"

// look is what a watch sees at one moment.
type look struct {
	entry Entry
	found bool
	// changed is closed when the key or a switch changes.
	changed <-chan struct{}
	// due receives when a write that lags becomes visible. Nil if there is none.
	due <-chan time.Time
}

func (m *MemoryStore) look(key string, version uint64) (look, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.down {
		return look{}, ErrUnavailable
	}
	r := m.record(key)
	now := m.clock.Now()
	limit := now.Add(-m.faults.watchLag)
	if entry, ok := r.visible(limit); ok && entry.Version > version {
		return look{entry: entry.clone(), found: true}, nil
	}
	next := look{changed: r.changed}
	if at, ok := r.nextAfter(limit); ok {
		next.due = m.clock.After(at.Sub(limit))
	}
	return next, nil
}
