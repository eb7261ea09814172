package directory

import (
	"maps"
	"time"
)

// NoticeRetention is how long what a server has said of itself is remembered while the server is not registered. A later
// entry of the same incarnation does not take it back.
const NoticeRetention = 10 * time.Minute

// MarkLeaving records that an incarnation has said of itself that it leaves, and reports whether that is new. Without a start
// time that counts only while the server is registered: nothing distinguishes its next process.
func (d *Directory) MarkLeaving(now time.Duration, incarnation Incarnation) bool {
	if _, known := d.leaving[incarnation]; known {
		return false
	}
	if _, registered := d.entries[incarnation.ID]; !registered && incarnation.StartedAtMs == 0 {
		return false
	}
	d.leaving[incarnation] = now
	return true
}

// forgetLeaving forgets the servers that said that they leave, and have not been registered for NoticeRetention.
func (d *Directory) forgetLeaving(now time.Duration) {
	maps.DeleteFunc(d.leaving, func(incarnation Incarnation, since time.Duration) bool {
		e, registered := d.entries[incarnation.ID]
		return now-since > NoticeRetention && !(registered && e.server.Incarnation() == incarnation)
	})
}

// registered returns an entry with what its server has said of itself.
func (d *Directory) registered(e *entry) RegisteredServer {
	r := RegisteredServer{Server: e.server, WarmupUntil: e.warmupUntil, DrainingSince: e.drainingSince}
	if since, leaving := d.leaving[e.server.Incarnation()]; leaving {
		r.MarkLeaving(since)
	}
	return r
}

// MarkLeaving records that the server has said of itself that it leaves, as learned at a time. The earlier of that and its
// entry starts the drain.
func (r *RegisteredServer) MarkLeaving(since time.Duration) {
	if !r.Draining || since < r.DrainingSince {
		r.Draining, r.DrainingSince = true, since
	}
}
