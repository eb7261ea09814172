package store

import "time"

// watchView is what a watch can see at one point in time.
type watchView struct {
	entry Entry
	found bool
	// changed is closed when the key or an injected fault changes.
	changed <-chan struct{}
	// lagElapsed receives when the next write that is still hidden by the watch lag becomes visible; nil if there is
	// none.
	lagElapsed <-chan time.Time
}

// watchView returns what a watch for versions greater than version can see now.
func (m *MemoryStore) watchView(key string, version uint64) (watchView, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.down {
		return watchView{}, ErrUnavailable
	}
	h := m.history(key)
	now := m.clock.Now()
	visibleUntil := now.Add(-m.faults.watchLag)
	if entry, ok := h.latestAt(visibleUntil); ok && entry.Version > version {
		return watchView{entry: entry.clone(), found: true}, nil
	}
	view := watchView{changed: h.changed}
	if at, ok := h.nextWriteAfter(visibleUntil); ok {
		view.lagElapsed = m.clock.After(at.Sub(visibleUntil))
	}
	return view, nil
}
