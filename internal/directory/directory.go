package directory

import "time"

const (
	// lapseGrace is how long after an outage of the store an entry is kept that has vanished: the servers that live
	// write theirs again within that time, and one that is missing then is gone.
	lapseGrace = 2100 * time.Millisecond
)

// Directory is the set of known backend servers. Time is the monotonic time since the start of the process.
type Directory struct {
	entries map[string]*entry
	// lastOutage is when the store last failed to answer; negative before the first failure.
	lastOutage time.Duration
}

// entry is one server with the time at which it became cold and the time at which it is forgotten.
type entry struct {
	server    Server
	coldUntil time.Duration
	// drainingSince is when the server was first seen to drain.
	drainingSince time.Duration
	// lapsed is true once the entry vanished around an outage.
	lapsed   bool
	forgetAt time.Duration
}

// RegisteredServer is a server with the time until which it is slow after its start.
type RegisteredServer struct {
	Server
	WarmupUntil time.Duration
	// DrainingSince is when the server was first seen to drain, if it does.
	DrainingSince time.Duration
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*entry), lastOutage: -lapseGrace}
}

// RecordStoreOutage notes that the store did not answer.
func (d *Directory) RecordStoreOutage(now time.Duration) { d.lastOutage = now }

// Put adds or replaces an entry.
func (d *Directory) Put(now time.Duration, server Server) {
	e := &entry{server: server, coldUntil: now + server.WarmupLeft, drainingSince: now}
	if last, known := d.entries[server.ID]; known && last.server.Draining && last.server.Incarnation() == server.Incarnation() {
		e.drainingSince = last.drainingSince
	}
	d.entries[server.ID] = e
}

// Remove forgets an entry, after a grace if the store was away and the server may only have been unable to write.
func (d *Directory) Remove(now time.Duration, id string) {
	e, ok := d.entries[id]
	if !ok {
		return
	}
	if now-d.lastOutage >= lapseGrace {
		delete(d.entries, id)
		return
	}
	e.lapsed = true
	e.forgetAt = d.lastOutage + lapseGrace
}

// Replace brings the directory to a complete listing.
func (d *Directory) Replace(now time.Duration, servers []Server) {
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		if e, ok := d.entries[server.ID]; ok && e.server.Incarnation() == server.Incarnation() {
			wasDraining := e.server.Draining
			e.server, e.lapsed = server, false
			if !wasDraining {
				e.drainingSince = now
			}
			continue
		}
		d.Put(now, server)
	}
	for id := range d.entries {
		if !listed[id] {
			d.Remove(now, id)
		}
	}
}

// Expire forgets lapsed entries whose grace is over, and reports whether there were any.
func (d *Directory) Expire(now time.Duration) bool {
	changed := false
	for id, e := range d.entries {
		if e.lapsed && now >= e.forgetAt {
			delete(d.entries, id)
			changed = true
		}
	}
	return changed
}

// Lookup returns the entry of an ID.
func (d *Directory) Lookup(id string) (RegisteredServer, bool) {
	e, ok := d.entries[id]
	if !ok {
		return RegisteredServer{}, false
	}
	return e.known(), true
}

func (e *entry) known() RegisteredServer {
	return RegisteredServer{Server: e.server, WarmupUntil: e.coldUntil, DrainingSince: e.drainingSince}
}

// Servers returns the known servers in no particular order.
func (d *Directory) Servers() []RegisteredServer {
	known := make([]RegisteredServer, 0, len(d.entries))
	for _, e := range d.entries {
		known = append(known, e.known())
	}
	return known
}
