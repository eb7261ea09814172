package home

import (
	"container/list"
	"encoding/hex"
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// identityKey identifies a request across retries of the caller.
type identityKey struct {
	subscriber string
	identity   string
}

// identityEntry is what is known of one request identity.
type identityEntry struct {
	key   identityKey
	begun time.Time
	// done is closed once result and status are set.
	done    chan struct{}
	running bool
	result  outcome.Outcome
	status  int
	place   *list.Element
}

// identityRecord remembers request identities for IdentityWindow, at most limit of them. The dispatcher's
// mu protects it.
type identityRecord struct {
	limit   int
	entries map[identityKey]*identityEntry
	// order holds the entries, the oldest first.
	order *list.List
	// since is the time from which on every identity is remembered.
	since time.Time
}

func newIdentityRecord(limit int, now time.Time) *identityRecord {
	return &identityRecord{
		limit:   limit,
		entries: make(map[identityKey]*identityEntry),
		order:   list.New(),
		since:   now,
	}
}

// find returns the entry of a request identity, or nil.
func (r *identityRecord) find(key identityKey, now time.Time) *identityEntry {
	r.expire(now)
	return r.entries[key]
}

// add records a request that is about to be queued. It returns nil if the record is full of requests that
// are running.
func (r *identityRecord) add(key identityKey, now time.Time) *identityEntry {
	if len(r.entries) >= r.limit && !r.dropOldest() {
		return nil
	}
	entry := &identityEntry{key: key, begun: now, done: make(chan struct{}), running: true}
	entry.place = r.order.PushBack(entry)
	r.entries[key] = entry
	return entry
}

// finish records the outcome. An identity that did not run is forgotten, so that a retry can run.
func (r *identityRecord) finish(entry *identityEntry, result outcome.Outcome, status int) {
	if !entry.running {
		return
	}
	entry.running = false
	entry.result = result
	entry.status = status
	close(entry.done)
	if result == outcome.NotExecuted {
		r.drop(entry)
	}
}

// covers reports whether the record, for a scope that is owned since the given time, must know an identity
// if it was used before. Only the age of a UUIDv7 is known; other identities are taken as new.
func (r *identityRecord) covers(identity string, scopeSince time.Time) bool {
	created, ok := uuidTime(identity)
	if !ok {
		return true
	}
	since := r.since
	if scopeSince.After(since) {
		since = scopeSince
	}
	return created.After(since.Add(MaxClockSkew))
}

func (r *identityRecord) expire(now time.Time) {
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		entry := front.Value.(*identityEntry)
		if entry.running || now.Sub(entry.begun) < IdentityWindow {
			return
		}
		r.forget(entry)
	}
}

// dropOldest forgets the oldest entry that is not running.
func (r *identityRecord) dropOldest() bool {
	for place := r.order.Front(); place != nil; place = place.Next() {
		entry := place.Value.(*identityEntry)
		if !entry.running {
			r.forget(entry)
			return true
		}
	}
	return false
}

// forget drops an entry that may have run. From then on, identities of its age count as unknown.
func (r *identityRecord) forget(entry *identityEntry) {
	if entry.begun.After(r.since) {
		r.since = entry.begun
	}
	r.drop(entry)
}

func (r *identityRecord) drop(entry *identityEntry) {
	r.order.Remove(entry.place)
	delete(r.entries, entry.key)
}

// uuidTime returns the time of a UUIDv7 (RFC 9562, 5.7). ok is false for any other text.
func uuidTime(text string) (created time.Time, ok bool) {
	text = strings.Trim(text, `"`) // the header is a structured field string in the draft
	if len(text) != 36 || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	if raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range raw[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}
