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
	known  directory.RegisteredServer
	pool   *serverconn.Pool
	local  bool
	own    int
	others placing.PeerLoad
	work   placing.RunTimeEstimate
	// fleetWork is how long requests run at the server as all gateways measured it; 0 if that is not known.
	fleetWork time.Duration
	// fleet is the number of requests of other gateways as the gateways told each other, at fleetAt.
	fleet      int
	fleetAt    time.Duration
	fleetKnown bool
	// hash names the server in messages between gateways.
	hash   uint32
	record suspicion.Tracker
	// gone is true once another server has answered at the address.
	gone bool
}

// fleetFor is how long the gateways' own numbers are better than the load that a server reports.
const fleetFor = time.Second

// othersNow estimates the requests of other gateways at the server.
func (s *server) othersNow(now time.Duration, mean float64) float64 {
	if s.fleetKnown && now-s.fleetAt < fleetFor {
		return float64(s.fleet)
	}
	return s.others.Estimate(now, mean)
}

// drainMargin is how much earlier than allowed the last request is sent to a server that is about to leave.
const drainMargin = 400 * time.Millisecond

// drained reports whether the server has been about to leave for so long that it gets no more requests.
func (s *server) drained(now, drain time.Duration) bool {
	return s.known.Draining && now-s.known.DrainingSince > drain-drainMargin
}

// state returns what placing needs to know.
func (s *server) state(now, meanWork time.Duration, meanOthers float64) placing.Server {
	if s.fleetWork > 0 {
		meanWork = s.fleetWork
	}
	work := s.work.Expected(meanWork)
	if now < s.known.WarmupUntil {
		work *= coldFactor
	}
	distance := remoteRoundTrip
	if s.local {
		distance = 0
	}
	return placing.Server{
		Slots:        s.known.Slots,
		OwnRequests:  s.own,
		PeerRequests: s.othersNow(now, meanOthers),
		RunTime:      work,
		NetworkCost:  distance,
		FailureRate:  s.record.FailureRate(now),
	}
}
