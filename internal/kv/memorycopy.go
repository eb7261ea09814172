package kv

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Copy is a copy of the contents of a MemoryStore at one time.
type Copy struct {
	revision int64
	items    map[string]Item
	history  []Event
	// compacted is the revision up to which the history was discarded.
	compacted int64
	leases    map[LeaseID]time.Duration
}

// Copy returns a copy of the current contents.
func (m *MemoryStore) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Copy{
		revision: m.revision, items: maps.Clone(m.items), history: slices.Clone(m.history), compacted: m.compacted,
		leases: make(map[LeaseID]time.Duration, len(m.leases)),
	}
	for id, lease := range m.leases {
		c.leases[id] = lease.ttl
	}
	return c
}

// Restore replaces the contents with a copy and begins a new era. Keys with one of the prefixes keep their current
// values: their writers write them again. The leases of the copy run anew.
func (m *MemoryStore) Restore(c Copy, rewritten ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.items
	m.era++
	m.revision, m.items, m.history, m.compacted = c.revision, make(map[string]Item), nil, c.compacted
	for _, event := range c.history {
		event.Revision.Era, event.Created.Era = m.era, m.era
		m.history = append(m.history, event)
	}
	for key, item := range c.items {
		item.Revision.Era, item.Created.Era = m.era, m.era
		m.items[key] = item
	}
	m.restoreLeases(c, current, rewritten)
	m.rewrite(current, rewritten)
	m.notifyWatches()
}

// restoreLeases replaces the leases with those of a copy, except for the leases of the keys that are written again. The
// caller must hold mu.
func (m *MemoryStore) restoreLeases(c Copy, current map[string]Item, rewritten []string) {
	kept := make(map[LeaseID]bool)
	for key, item := range current {
		if hasAnyPrefix(key, rewritten) {
			kept[item.Lease] = true
		}
	}
	for id, lease := range m.leases {
		if _, copied := c.leases[id]; !copied && !kept[id] {
			lease.timer.Stop()
			delete(m.leases, id)
		}
	}
	for id, ttl := range c.leases {
		if lease := m.leases[id]; lease != nil {
			lease.timer.Reset(ttl)
			continue
		}
		m.addLease(id, ttl)
	}
}

// rewrite writes the current values of the keys that are written again, each in a change of its own. The caller must hold
// mu.
func (m *MemoryStore) rewrite(current map[string]Item, rewritten []string) {
	for _, key := range slices.Sorted(maps.Keys(current)) {
		item := current[key]
		if hasAnyPrefix(key, rewritten) && !slices.Equal(m.items[key].Value, item.Value) {
			m.revision++
			m.put(Put{Key: key, Value: item.Value, Lease: item.Lease})
		}
	}
}

func hasAnyPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// Era returns the current era.
func (m *MemoryStore) Era() Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}
