package directory

import "time"

// The store may carry out a write seconds after its call, and may come back from an earlier copy. So an entry can be older
// than the one that it replaces: entries of one server are ordered by the start of the incarnation, then by sequence number.

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
