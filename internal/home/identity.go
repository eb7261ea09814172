package home

import (
	"container/list"
	"encoding/hex"
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// identityKey identifies a request across retries by the client.
type identityKey struct {
	subscriber string
	identity   string
}

// identityEntry is the recorded state of one request identity.
type identityEntry struct {
	key       identityKey
	startedAt time.Time
	// done is closed once result and status are set.
	done    chan struct{}
	running bool
	result  outcome.Outcome
	status  int
	element *list.Element
}

// identityRecord holds up to limit request identities for IdentityWindow. The dispatcher's mu protects it.
type identityRecord struct {
	limit   int
	entries map[identityKey]*identityEntry
	// order holds the entries, oldest first.
	order *list.List
	// completeSince is the time since which every identity is recorded.
	completeSince time.Time
}

func newIdentityRecord(limit int, now time.Time) *identityRecord {
	return &identityRecord{
		limit:         limit,
		entries:       make(map[identityKey]*identityEntry),
		order:         list.New(),
		completeSince: now,
	}
}

// find returns the entry of a request identity, or nil.
func (r *identityRecord) find(key identityKey, now time.Time) *identityEntry {
	r.evictExpired(now)
	return r.entries[key]
}

// add records a request that is about to be queued. It returns nil if the record is full of running requests.
func (r *identityRecord) add(key identityKey, now time.Time) *identityEntry {
	if len(r.entries) >= r.limit && !r.evictOldest() {
		return nil
	}
	entry := &identityEntry{key: key, startedAt: now, done: make(chan struct{}), running: true}
	entry.element = r.order.PushBack(entry)
	r.entries[key] = entry
	return entry
}

// finish records the outcome. An identity whose request was not executed is removed, so that a retry can be executed.
func (r *identityRecord) finish(entry *identityEntry, result outcome.Outcome, status int) {
	if !entry.running {
		return
	}
	entry.running = false
	entry.result = result
	entry.status = status
	close(entry.done)
	if result == outcome.NotExecuted {
		r.remove(entry)
	}
}

// covers reports whether the record would contain the identity if it had been used before. scopeSince is the time since
// which identities are recorded for the scope. Only a UUIDv7 has a known age; any other identity counts as covered.
func (r *identityRecord) covers(identity string, scopeSince time.Time) bool {
	created, ok := uuidTime(identity)
	if !ok {
		return true
	}
	since := r.completeSince
	if scopeSince.After(since) {
		since = scopeSince
	}
	return created.After(since.Add(MaxClockSkew))
}

func (r *identityRecord) evictExpired(now time.Time) {
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		entry := front.Value.(*identityEntry)
		if entry.running || now.Sub(entry.startedAt) < IdentityWindow {
			return
		}
		r.evict(entry)
	}
}

// evictOldest removes the oldest entry that is not running. It returns false if there is none.
func (r *identityRecord) evictOldest() bool {
	for element := r.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*identityEntry)
		if !entry.running {
			r.evict(entry)
			return true
		}
	}
	return false
}

// evict removes an entry whose request may have been executed. From then on, the record does not cover identities of
// its age.
func (r *identityRecord) evict(entry *identityEntry) {
	if entry.startedAt.After(r.completeSince) {
		r.completeSince = entry.startedAt
	}
	r.remove(entry)
}

func (r *identityRecord) remove(entry *identityEntry) {
	r.order.Remove(entry.element)
	delete(r.entries, entry.key)
}

// uuidTime returns the creation time of a UUIDv7 (RFC 9562, 5.7). ok is false for any other text.
func uuidTime(text string) (created time.Time, ok bool) {
	text = strings.Trim(text, `"`) // the draft of the header defines a structured field string
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
