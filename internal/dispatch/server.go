package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/placing"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

const (
	// coldFactor is how much longer requests run on a server that has just started.
	coldFactor = 2
	// remoteRoundTrip is the price of another availability zone, in time: the round trip, and the bytes that are
	// paid for.
	remoteRoundTrip = 5 * time.Millisecond
)

// server is one life of a backend server as this gateway sees it.
type server struct {
	known  directory.Known
	pool   *serverconn.Pool
	local  bool
	own    int
	others placing.Others
	work   placing.Work
	record suspicion.Record
}

// state returns what placing needs to know.
func (s *server) state(now, meanWork time.Duration, meanOthers float64) placing.Server {
	work := s.work.Expected(meanWork)
	if now < s.known.ColdUntil {
		work *= coldFactor
	}
	distance := remoteRoundTrip
	if s.local {
		distance = 0
	}
	return placing.Server{
		Slots:        s.known.Slots,
		Own:          s.own,
		Others:       s.others.Estimate(now, meanOthers),
		Work:         work,
		Distance:     distance,
		FailureShare: s.record.FailureShare(now),
		Suspended:    s.record.Suspended(now),
	}
}
