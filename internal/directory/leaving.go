package directory

import (
	"maps"
	"time"
)

// NoticeRetention is how long what a server has said of itself is remembered while the server is not registered. A later
// entry of the same incarnation does not take it back.
const NoticeRetention = 10 * time.Minute

// MarkLeaving records that an incarnation has said of itself that it leaves, and reports whether that is new.
func (d *Directory) MarkLeaving(now time.Duration, incarnation Incarnation) bool {
	if _, known := d.leaving[incarnation]; known {
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

// registered returns an entry with what its server has said of itself: the earlier of the two starts the drain.
func (d *Directory) registered(e *entry) RegisteredServer {
	r := RegisteredServer{Server: e.server, WarmupUntil: e.warmupUntil, DrainingSince: e.drainingSince}
	since, leaving := d.leaving[e.server.Incarnation()]
	if leaving && (!r.Draining || since < r.DrainingSince) {
		r.Draining, r.DrainingSince = true, since
	}
	return r
}
