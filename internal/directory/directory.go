package directory

import (
	"maps"
	"time"
)

const (
	// removalGrace is how long after a store outage an entry is kept although it was removed from the store. Running
	// servers register again within this time; a server that is still missing afterwards has stopped.
	removalGrace = 2100 * time.Millisecond
	// removedRetention is how long a removed entry is remembered. It exceeds the age of the copies from which the store
	// comes back, and the time after which the store may still carry out a write.
	removedRetention = 2 * time.Minute
	// restoredGrace is how long after a restore outdated entries are expected. They expire, because nobody renews them.
	restoredGrace = 10 * time.Second
)

// Directory is the set of registered backend servers. All times are monotonic times since the start of the process.
type Directory struct {
	entries map[string]*entry
	// removed are the last entries of servers that were removed, for removedRetention.
	removed map[string]removal
	// leaving are the incarnations that said of themselves that they leave, with the time at which that was learned.
	leaving map[Incarnation]time.Duration
	// outdated are the entries that the store contains and that were ignored.
	outdated map[string]outdatedEntry
	// lastStoreOutage is the time of the last failed store call. It is negative before the first failure.
	lastStoreOutage time.Duration
	// restoredUntil is the time until which the store may still contain entries of an earlier copy that are outdated.
	restoredUntil time.Duration
}

// removal is the removal of a server.
type removal struct {
	at time.Duration
	// server is its last entry.
	server Server
}

// entry is one server with the end of its warm-up and, if its removal is pending, the time of the removal.
type entry struct {
	server      Server
	warmupUntil time.Duration
	// drainingSince is the earliest time at which the server may have reported that it drains.
	drainingSince time.Duration
	// removalPending is true if the entry was removed from the store shortly after an outage.
	removalPending bool
	removeAt       time.Duration
}

// RegisteredServer is a registered server with the times that the directory tracks for it.
type RegisteredServer struct {
	Server
	// WarmupUntil is the end of the warm-up, during which the server has less capacity.
	WarmupUntil time.Duration
	// DrainingSince is the earliest time at which the server may have reported that it drains. It is meaningful only if
	// Draining is set.
	DrainingSince time.Duration
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		entries: make(map[string]*entry), removed: make(map[string]removal), outdated: make(map[string]outdatedEntry),
		leaving:         make(map[Incarnation]time.Duration),
		lastStoreOutage: -removalGrace,
	}
}

// RecordStoreOutage records that a store call failed.
func (d *Directory) RecordStoreOutage(now time.Duration) { d.lastStoreOutage = now }

// RecordRestore records that the store came back from an earlier copy.
func (d *Directory) RecordRestore(now time.Duration) {
	d.RecordStoreOutage(now)
	d.restoredUntil = now + restoredGrace
}

// Put adds or replaces the entry of a server, unless it is outdated. The change was made since a point in time at which the
// directory was known to be complete; it may have been learned late.
func (d *Directory) Put(now, since time.Duration, server Server) {
	if d.IsOutdated(now, server) {
		d.ignore(now, server)
		return
	}
	delete(d.outdated, server.ID)
	e := &entry{server: server, warmupUntil: now + server.WarmupLeft, drainingSince: since}
	if last, ok := d.entries[server.ID]; ok && last.server.Draining && last.server.Incarnation() == server.Incarnation() {
		e.drainingSince = last.drainingSince
	}
	d.entries[server.ID] = e
}

// Remove removes an entry. Shortly after a store outage the removal is delayed by a grace period, because the server
// may still be running and only have been unable to renew its entry.
func (d *Directory) Remove(now time.Duration, id string) {
	delete(d.outdated, id)
	e, ok := d.entries[id]
	if !ok {
		return
	}
	if now-d.lastStoreOutage >= removalGrace {
		d.delete(now, id, e)
		return
	}
	e.removalPending = true
	e.removeAt = d.lastStoreOutage + removalGrace
}

// delete removes an entry and remembers it. The word of a server without a start time ends with its entry.
func (d *Directory) delete(now time.Duration, id string, e *entry) {
	delete(d.entries, id)
	d.removed[id] = removal{at: now, server: e.server}
	if e.server.StartedAtMs == 0 {
		delete(d.leaving, e.server.Incarnation())
	}
}

// Replace sets the contents of the directory to a complete listing of the store. Like those of Put, the changes were made
// since a point in time. Outdated entries are ignored.
func (d *Directory) Replace(now, since time.Duration, servers []Server) {
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		if d.IsOutdated(now, server) {
			d.ignore(now, server)
			continue
		}
		delete(d.outdated, server.ID)
		if e, ok := d.entries[server.ID]; ok && e.server.Incarnation() == server.Incarnation() {
			wasDraining, repeated := e.server.Draining, e.server.Sequence == server.Sequence
			e.server, e.removalPending = server, false
			if !repeated {
				e.warmupUntil = now + server.WarmupLeft
			}
			if !wasDraining {
				e.drainingSince = since
			}
			continue
		}
		d.Put(now, since, server)
	}
	for id := range d.entries {
		if !listed[id] {
			d.Remove(now, id)
		}
	}
	maps.DeleteFunc(d.outdated, func(id string, _ outdatedEntry) bool { return !listed[id] })
}

// Expire removes the entries whose grace period has ended, and accepts outdated ones that stay in the store. It reports
// whether there were any. completeAt is when the directory was last known to be complete.
func (d *Directory) Expire(now, completeAt time.Duration) bool {
	changed := d.acceptPersistent(now, completeAt)
	for id, e := range d.entries {
		if e.removalPending && now >= e.removeAt {
			d.delete(now, id, e)
			changed = true
		}
	}
	d.forgetLeaving(now)
	maps.DeleteFunc(d.removed, func(_ string, r removal) bool { return now-r.at > removedRetention })
	return changed
}

// Lookup returns the entry with the given ID.
func (d *Directory) Lookup(id string) (RegisteredServer, bool) {
	e, ok := d.entries[id]
	if !ok {
		return RegisteredServer{}, false
	}
	return d.registered(e), true
}

// Servers returns the registered servers in no particular order.
func (d *Directory) Servers() []RegisteredServer {
	servers := make([]RegisteredServer, 0, len(d.entries))
	for _, e := range d.entries {
		servers = append(servers, d.registered(e))
	}
	return servers
}

// HasServersIn reports whether any server is registered in an availability zone.
func (d *Directory) HasServersIn(zone string) bool {
	for _, e := range d.entries {
		if e.server.Zone == zone {
			return true
		}
	}
	return false
}
