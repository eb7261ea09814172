package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
)

// keptNotice is the notice of an incarnation that is not listed.
type keptNotice struct {
	notice serverstate.Notice
	until  time.Duration
}

// observeStatement applies what a backend server said of itself in the response to a request.
func (d *Dispatcher) observeStatement(r *Reservation, statement serverstate.Statement, now time.Duration) {
	learned := r.server.known.Observe(statement, r.sentAt, now, d.returnSpread(r))
	if learned == (serverstate.Learned{}) {
		return
	}
	log := d.log.WithFields(logrus.Fields{
		"server": r.Server.ID, "started_ms": r.Server.StartedAtMs, "service": r.Server.Service, "sent": r.sentAt,
	})
	if learned.Leaving {
		log.WithField("until", now+d.periods.Drain).Info("backend server says that it leaves")
		d.metrics.CountNotice(noticeLeaving)
	}
	if learned.HoldOff {
		log.WithField("until", now+r.server.known.HeldOffFor(now)).Info("backend server wants no requests for some time")
		d.metrics.CountNotice(noticeHoldOff)
	}
	if learned.InvalidHoldOff {
		log.Warning("backend server names a time without requests that is not a number of seconds; not followed")
		d.metrics.CountNotice(noticeInvalid)
	}
}

// Kinds of notices in metrics.
const (
	noticeLeaving = "leaving"
	noticeHoldOff = "hold-off"
	noticeInvalid = "invalid"
)

// returnSpread returns the time over which the gateways come back to a server after a hold-off: that in which it executes
// one request of each.
func (d *Dispatcher) returnSpread(r *Reservation) time.Duration {
	runTime := r.server.runTime.Expected(r.Expected)
	return time.Duration(float64(max(1, d.gateways)) / float64(max(1, r.Server.Slots)) * float64(runTime))
}

// HeldOffServers returns the number of backend servers that want no requests from this gateway now.
func (d *Dispatcher) HeldOffServers() int {
	return d.countServers(func(s *server, now time.Duration) bool { return s.known.HeldOffFor(now) > 0 })
}

// keepNotice keeps the notice of a server that is no longer listed. Without a start time, the next server with its ID can't
// be told from it.
func (d *Dispatcher) keepNotice(s *server, now time.Duration) {
	maps.DeleteFunc(d.notices, func(_ directory.Incarnation, kept keptNotice) bool { return now > kept.until })
	incarnation, notice := s.registered.Incarnation(), s.known.Notice()
	if incarnation.StartedAtMs > 0 && !notice.IsZero() {
		d.notices[incarnation] = keptNotice{notice: notice, until: now + max(directory.NoticeRetention, notice.HoldOff.Left(now))}
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
