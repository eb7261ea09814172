package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/placing"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
)

const (
	// coldStartFactor is the factor by which requests run longer on a server that is still warming up.
	coldStartFactor = 2
	// crossZoneCost is the cost of sending a request to another availability zone, expressed as time. It covers
	// the round trip and the price of the transferred bytes.
	crossZoneCost = 5 * time.Millisecond
)

// server is the state of one incarnation of a backend server as seen by this gateway.
type server struct {
	registered  directory.RegisteredServer
	pool        *serverconn.Pool
	sameZone    bool
	ownRequests int
	peerLoad    placing.PeerLoad
	runTime     placing.RunTimeEstimate
	slowdown    placing.Slowdown
	// sharedRunTime is the run time of requests as measured by all gateways; 0 if unknown.
	sharedRunTime time.Duration
	// peerRequests is the number of other gateways' requests, as exchanged between gateways at peerRequestsAt.
	peerRequests      int
	peerRequestsAt    time.Duration
	peerRequestsKnown bool
	// hash identifies the server in messages between gateways.
	hash   uint32
	known  serverstate.State
	limits serverLimits
}

// peerRequestsMaxAge is how long the numbers exchanged between gateways take precedence over the load reported by
// the server.
const peerRequestsMaxAge = time.Second

// estimatePeerRequests returns the estimated number of other gateways' requests at the server.
func (s *server) estimatePeerRequests(now time.Duration, mean float64) float64 {
	if s.peerRequestsKnown && now-s.peerRequestsAt < peerRequestsMaxAge {
		return float64(s.peerRequests)
	}
	return s.peerLoad.Estimate(now, mean)
}

// state returns the server's state in the form that package placing uses.
func (s *server) state(now, meanRunTime time.Duration, meanPeerRequests float64) placing.Server {
	if s.sharedRunTime > 0 {
		meanRunTime = s.sharedRunTime
	}
	runTime := s.runTime.Expected(meanRunTime)
	if s.known.WarmingUp(now) {
		runTime *= coldStartFactor
	}
	networkCost := crossZoneCost
	if s.sameZone {
		networkCost = 0
	}
	return placing.Server{
		Slots:        s.registered.Slots,
		OwnRequests:  s.ownRequests,
		PeerRequests: s.estimatePeerRequests(now, meanPeerRequests),
		RunTime:      runTime,
		Slowdown:     s.slowdown.Estimate(now),
		NetworkCost:  networkCost,
		FailureRate:  s.known.Failures.FailureRate(now),
	}
}

// countServers returns the number of servers that meet a condition now.
func (d *Dispatcher) countServers(meets func(s *server, now time.Duration) bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count, now := 0, d.clock()
	for _, s := range d.servers {
		if meets(s, now) {
			count++
		}
	}
	return count
}
