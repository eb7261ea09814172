package store

import "time"

// historyLength bounds the earlier values that the stand-in keeps of one key for stale reads and restores.
const historyLength = 64

// write is one value of a key and the time from which reads see it.
type write struct {
	entry Entry
	at    time.Time
}

// record is the history of one key.
type record struct {
	// writes are in the order in which they took effect; the last one is in force.
	writes []write
	// trimmed is true once the oldest writes were dropped.
	trimmed bool
	// highest is the greatest version ever given. A restore does not lower it, so that no version names
	// two values.
	highest uint64
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newRecord() *record {
	return &record{changed: make(chan struct{})}
}

func (r *record) version() uint64 {
	if len(r.writes) == 0 {
		return 0
	}
	return r.writes[len(r.writes)-1].entry.Version
}

// behind returns the entry that was in force before the last n writes.
func (r *record) behind(n int) (Entry, bool) {
	i := len(r.writes) - 1 - n
	if i < 0 && r.trimmed {
		i = 0
	}
	if i < 0 {
		return Entry{}, false
	}
	return r.writes[i].entry, true
}

// visible returns the last entry that took effect at limit or before.
func (r *record) visible(limit time.Time) (Entry, bool) {
	for i := len(r.writes) - 1; i >= 0; i-- {
		if !r.writes[i].at.After(limit) {
			return r.writes[i].entry, true
		}
	}
	return Entry{}, false
}

// nextAfter returns the time of the first write after limit.
func (r *record) nextAfter(limit time.Time) (time.Time, bool) {
	for _, w := range r.writes {
		if w.at.After(limit) {
			return w.at, true
		}
	}
	return time.Time{}, false
}

func (r *record) find(version uint64) (Entry, bool) {
	for _, w := range r.writes {
		if w.entry.Version == version {
			return w.entry, true
		}
	}
	return Entry{}, false
}

func (r *record) push(entry Entry, at time.Time) {
	r.writes = append(r.writes, write{entry: entry, at: at})
	if len(r.writes) > historyLength {
		r.writes = append([]write(nil), r.writes[1:]...)
		r.trimmed = true
	}
	r.highest = max(r.highest, entry.Version)
	r.signal()
}

// signal wakes the waiting watches.
func (r *record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}
