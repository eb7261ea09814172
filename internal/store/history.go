package store

import "time"

// maxHistoryLength bounds the writes that are kept per key for stale reads and restores.
const maxHistoryLength = 64

// write is one write of a key and the time at which it took effect.
type write struct {
	entry Entry
	at    time.Time
}

// history holds the latest writes of one key.
type history struct {
	// writes are in the order in which they took effect; the last one is the current value.
	writes []write
	// truncated is true once the oldest writes have been discarded.
	truncated bool
	// maxVersion is the greatest version ever assigned. A restore does not lower it, so that no version refers to two
	// values.
	maxVersion uint64
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newHistory() *history {
	return &history{changed: make(chan struct{})}
}

// version returns the current version, or 0 if the key does not exist.
func (h *history) version() uint64 {
	if len(h.writes) == 0 {
		return 0
	}
	return h.writes[len(h.writes)-1].entry.Version
}

// beforeLast returns the entry from before the last n writes. Once the history is truncated, it returns no entry older
// than the oldest that is left.
func (h *history) beforeLast(n int) (Entry, bool) {
	i := len(h.writes) - 1 - n
	if i < 0 && h.truncated {
		i = 0
	}
	if i < 0 {
		return Entry{}, false
	}
	return h.writes[i].entry, true
}

// latestAt returns the latest entry that took effect at or before limit.
func (h *history) latestAt(limit time.Time) (Entry, bool) {
	for i := len(h.writes) - 1; i >= 0; i-- {
		if !h.writes[i].at.After(limit) {
			return h.writes[i].entry, true
		}
	}
	return Entry{}, false
}

// nextWriteAfter returns the time of the first write after limit.
func (h *history) nextWriteAfter(limit time.Time) (time.Time, bool) {
	for _, w := range h.writes {
		if w.at.After(limit) {
			return w.at, true
		}
	}
	return time.Time{}, false
}

func (h *history) findVersion(version uint64) (Entry, bool) {
	for _, w := range h.writes {
		if w.entry.Version == version {
			return w.entry, true
		}
	}
	return Entry{}, false
}

// add appends a write, discards the oldest one beyond maxHistoryLength, and wakes the watches.
func (h *history) add(entry Entry, at time.Time) {
	h.writes = append(h.writes, write{entry: entry, at: at})
	if len(h.writes) > maxHistoryLength {
		h.writes = append([]write(nil), h.writes[1:]...)
		h.truncated = true
	}
	h.maxVersion = max(h.maxVersion, entry.Version)
	h.notifyWatches()
}

// notifyWatches wakes the blocked watches.
func (h *history) notifyWatches() {
	close(h.changed)
	h.changed = make(chan struct{})
}
