package dispatch

import (
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/placing"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
)

// AcquireSpare assigns a backend server to a second copy of a request, if one has a free slot. It returns nil otherwise: a
// second copy never waits, takes no room for which other requests wait, and goes to no server that has the first one, starts
// slowly, limits its requests, leaves or is in a drained zone. A request for a key has one owner only, so it gets none.
func (d *Dispatcher) AcquireSpare(request *AcquireRequest) *Reservation {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[request.Service]
	if s == nil || s.ownedKey(request) || d.stopping || len(s.queue) > 0 {
		return nil
	}
	now := d.clock()
	meanRunTime, meanPeerRequests := s.meanRunTime(request), s.meanPeerRequests()
	state := func(i int) placing.Server { return s.servers[i].state(now, meanRunTime, meanPeerRequests) }
	i := placing.Choose(s.spareCandidates(request, now, state), placing.Limits{Target: request.Target, FreeSlot: true}, s.random)
	if i < 0 {
		return nil
	}
	chosen := state(i)
	return d.reserve(s, choice{server: s.servers[i], state: chosen, runTime: chosen.RunTime}, now)
}

// HasOneServer reports whether only the owner of its key can run a request.
func (d *Dispatcher) HasOneServer(request *AcquireRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[request.Service]
	return s == nil || s.ownedKey(request)
}

func (s *service) ownedKey(request *AcquireRequest) bool { return s.sharded && request.HasKey }

// spareCandidates returns the servers that may get a second copy of a request.
func (s *service) spareCandidates(request *AcquireRequest, now time.Duration, state func(int) placing.Server) placing.Candidates {
	candidates := placing.Candidates{State: state}
	for i, server := range s.servers {
		s.updateSlowStart(server, now)
		switch {
		case server.known.Availability(now, s.periods) != serverstate.Available, server.known.WarmingUp(now), server.limits.limited():
		case !server.known.Admits(server.ownRequests, server.registered.Slots, now):
		case slices.Contains(request.Tried, server.registered.Incarnation()):
		case server.sameZone:
			candidates.SameZone = append(candidates.SameZone, i)
		default:
			candidates.OtherZones = append(candidates.OtherZones, i)
		}
	}
	return candidates
}
