package directory

import "time"

// The store may carry out a write seconds after its call, and may come back from an earlier copy. So an entry can be older
// than the one that it replaces: entries of one server are ordered by the start of the incarnation, then by sequence number.

// outdatedPeriod is how long the store has to contain an outdated entry until it is taken for the entry of a running server.
// A late write is replaced by the next report of the server, or expires, within seconds.
const outdatedPeriod = 30 * time.Second

// outdatedEntry is an entry that was ignored, and that the store contained since a point in time.
type outdatedEntry struct {
	server Server
	since  time.Duration
}

// precedes reports whether an entry was written before another one of the same server.
func (s Server) precedes(other Server) bool {
	if s.StartedAtMs != other.StartedAtMs {
		return s.StartedAtMs < other.StartedAtMs
	}
	return s.Sequence < other.Sequence
}

// IsOutdated reports whether an entry was written before what is known of its server. An entry that was removed does not
// come back either: a server that registers again writes a new one.
//
// Without a start time, a lower sequence number may be that of a later incarnation; it counts only after a restore.
func (d *Directory) IsOutdated(now time.Duration, server Server) bool {
	if server.StartedAtMs == 0 && now >= d.restoredUntil {
		return false
	}
	if e, ok := d.entries[server.ID]; ok {
		return server.precedes(e.server)
	}
	removed, ok := d.removed[server.ID]
	return ok && !removed.server.precedes(server)
}

// Restarted returns the known incarnation of a server that an entry shows to have been replaced by a later one. It returns
// false if the entry is outdated, or describes the known incarnation.
func (d *Directory) Restarted(now time.Duration, server Server) (Server, bool) {
	known, ok := d.entries[server.ID]
	if !ok || d.IsOutdated(now, server) || known.server.StartedAtMs == server.StartedAtMs {
		return Server{}, false
	}
	return known.server, true
}

// ignore records that the store contains an outdated entry.
func (d *Directory) ignore(now time.Duration, server Server) {
	ignored, known := d.outdated[server.ID]
	if !known {
		ignored.since = now
	}
	ignored.server = server
	d.outdated[server.ID] = ignored
}

// acceptPersistent accepts the outdated entries that the store has contained for outdatedPeriod, and reports whether there
// were any. The known entry was then odd, or the clock of the server has gone back between two starts. completeAt is when the
// directory was last known to be complete.
func (d *Directory) acceptPersistent(now, completeAt time.Duration) bool {
	accepted := false
	for id, ignored := range d.outdated {
		if completeAt-ignored.since < outdatedPeriod {
			continue
		}
		delete(d.entries, id)
		delete(d.removed, id)
		d.Put(now, completeAt, ignored.server)
		accepted = true
	}
	return accepted
}
