package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
)

// noticeRetention is how long after a server was removed from the list its notice is kept. A later entry of the same
// incarnation does not end what the server has said of itself.
const noticeRetention = 10 * time.Minute

// keptNotice is the notice of an incarnation that is not listed.
type keptNotice struct {
	notice serverstate.Notice
	until  time.Duration
}

// observeStatement applies what a backend server said of itself in the response to a request.
func (d *Dispatcher) observeStatement(r *Reservation, statement serverstate.Statement, now time.Duration) {
	if !r.server.known.Observe(statement, now) {
		return
	}
	incarnation := r.Server.Incarnation()
	d.log.WithFields(logrus.Fields{
		"server": incarnation.ID, "started_ms": incarnation.StartedAtMs, "service": r.Server.Service,
		"sent": r.sentAt, "drain": d.drain,
	}).Info("backend server says that it leaves")
	d.metrics.CountNotice("leaving")
}

// keepNotice keeps the notice of a server that is no longer listed. Without a start time, the next server with its ID can't
// be told from it.
func (d *Dispatcher) keepNotice(s *server, now time.Duration) {
	maps.DeleteFunc(d.notices, func(_ directory.Incarnation, kept keptNotice) bool { return now > kept.until })
	incarnation, notice := s.registered.Incarnation(), s.known.Notice()
	if incarnation.StartedAtMs > 0 && !notice.IsZero() {
		d.notices[incarnation] = keptNotice{notice: notice, until: now + noticeRetention}
	}
}

// LeavingServers returns the listed servers that have said that they leave.
func (d *Dispatcher) LeavingServers() []directory.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var leaving []directory.Incarnation
	for incarnation, s := range d.servers {
		if s.known.Notice().Leaving {
			leaving = append(leaving, incarnation)
		}
	}
	slices.SortFunc(leaving, directory.Incarnation.Compare)
	return leaving
}
