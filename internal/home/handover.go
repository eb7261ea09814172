package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// RecordedIdentity is a request identity whose request ran or may have run.
type RecordedIdentity struct {
	Subscriber string
	Identity   string
	StartedAt      time.Time
	Outcome    outcome.Outcome
	// Status is the HTTP status of the answer, if the outcome is Ran.
	Status int
}

// RecordedScope is a scope and the time from which on its identities are recorded.
type RecordedScope struct {
	Scope backend.Scope
	Since time.Time
}

// IdentityRecord is the record of request identities that one home of a backend server hands to the next.
// Without it, a UUIDv7 from before the hand-over is refused as unknown.
type IdentityRecord struct {
	Since  time.Time
	Scopes []RecordedScope
	// Identities holds the oldest first.
	Identities []RecordedIdentity
}

// ExportIdentities returns the record. It is complete only after Leave, when no request can be added.
func (d *Dispatcher) ExportIdentities() IdentityRecord {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.identities.expire(now)
	record := IdentityRecord{Since: d.identities.since}
	d.scopes(func(state *scopeState) {
		record.Scopes = append(record.Scopes, RecordedScope{Scope: state.scope, Since: state.since})
	})
	for place := d.identities.order.Front(); place != nil; place = place.Next() {
		entry := place.Value.(*identityEntry)
		record.Identities = append(record.Identities, RecordedIdentity{
			Subscriber: entry.key.subscriber,
			Identity:   entry.key.identity,
			StartedAt:      entry.begun,
			Outcome:    entry.result, // unknown while the request is running
			Status:     entry.status,
		})
	}
	return record
}

// ImportIdentities takes over the complete record of the previous home of the same backend server. It must
// come before the first request and, for a divided service, after the first Apply.
func (d *Dispatcher) ImportIdentities(record IdentityRecord) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.identities.since = record.Since
	for _, recorded := range record.Scopes {
		if state := d.lookupAny(recorded.Scope); state != nil {
			state.since = recorded.Since
		}
	}
	for _, recorded := range record.Identities {
		key := identityKey{subscriber: recorded.Subscriber, identity: recorded.Identity}
		if entry := d.identities.add(key, recorded.StartedAt); entry != nil {
			d.identities.finish(entry, recorded.Outcome, recorded.Status)
		}
	}
	d.identities.expire(now)
}

// lookupAny is lookup for services of both sorts.
func (d *Dispatcher) lookupAny(scope backend.Scope) *scopeState {
	if d.whole != nil {
		return d.whole
	}
	return d.lookup(scope)
}
