package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// RecordedIdentity is the identity of a request that was or may have been executed.
type RecordedIdentity struct {
	Subscriber string
	Identity   string
	StartedAt  time.Time
	Outcome    outcome.Outcome
	// Status is the HTTP status of the response, if the outcome is Executed.
	Status int
}

// RecordedScope is a scope and the time since which its request identities are recorded.
type RecordedScope struct {
	Scope backend.Scope
	Since time.Time
}

// IdentityRecord is the record of request identities that a home of a backend server passes to the next home. Without
// it, a UUIDv7 that was created before the handover is refused as too old.
type IdentityRecord struct {
	Since  time.Time
	Scopes []RecordedScope
	// Identities is ordered by age, oldest first.
	Identities []RecordedIdentity
}

// ExportIdentities returns the record. It is final only after Leave, when no request can be added.
func (d *Dispatcher) ExportIdentities() IdentityRecord {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.identities.evictExpired(now)
	record := IdentityRecord{Since: d.identities.completeSince}
	d.forEachScope(func(state *scopeState) {
		record.Scopes = append(record.Scopes, RecordedScope{Scope: state.scope, Since: state.recordedSince})
	})
	for element := d.identities.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*identityEntry)
		record.Identities = append(record.Identities, RecordedIdentity{
			Subscriber: entry.key.subscriber,
			Identity:   entry.key.identity,
			StartedAt:  entry.startedAt,
			Outcome:    entry.result, // Unknown while the request is running
			Status:     entry.status,
		})
	}
	return record
}

// ImportIdentities takes over the complete record of the previous home of the same backend server. It must be called
// before the first request and, for a sharded service, after the first Apply.
func (d *Dispatcher) ImportIdentities(record IdentityRecord) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.identities.completeSince = record.Since
	for _, recorded := range record.Scopes {
		if state := d.scopeFor(recorded.Scope); state != nil {
			state.recordedSince = recorded.Since
		}
	}
	for _, recorded := range record.Identities {
		key := identityKey{subscriber: recorded.Subscriber, identity: recorded.Identity}
		if entry := d.identities.add(key, recorded.StartedAt); entry != nil {
			d.identities.finish(entry, recorded.Outcome, recorded.Status)
		}
	}
	d.identities.evictExpired(now)
}

// scopeFor is like lookupScope, but also works for services that are not sharded.
func (d *Dispatcher) scopeFor(scope backend.Scope) *scopeState {
	if d.unkeyedScope != nil {
		return d.unkeyedScope
	}
	return d.lookupScope(scope)
}
