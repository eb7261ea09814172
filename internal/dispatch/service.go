package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admission"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/placing"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
)

const (
	// typicalMoveTime is how long it usually takes to move keys away from an owner that responds.
	typicalMoveTime = 150 * time.Millisecond
	// slowMoveWait is the expected remaining time of a move that exceeds typicalMoveTime because the old owner
	// does not respond. It also serves as the expected wait if there is no server or owner, or the owner is suspended.
	slowMoveWait = 2 * time.Second
	// initialRunTimeRatio is the expected run time before the first measurement, as a fraction of the latency
	// objective.
	initialRunTimeRatio = 0.33
)

// service holds the servers, ownership and queued requests of one service.
type service struct {
	sharded bool
	// periods are how long draining backend servers still receive requests for keys that they own.
	periods serverstate.Periods
	// serverList is the list from which servers was built.
	serverList []directory.RegisteredServer
	servers    []*server
	// byIncarnation indexes servers.
	byIncarnation map[directory.Incarnation]*server
	owners        *ownership.Table
	// movingSince holds the time at which this gateway first saw a row being moved, by the token of the row.
	movingSince map[ownership.Token]time.Duration
	runTime     placing.RunTimeEstimate
	// mix is the demand by urgency.
	mix    admission.Mix
	queue  []*waiter
	random *rand.Rand
	// gateways is the number of gateways that share the limits of the servers.
	gateways int
	// slowStart limits the requests to servers that have just started.
	slowStart routing.SlowStart
	// limited is a buffer for the servers that admit no request now.
	limited []*server
	// These are buffers for indices of servers that are reused between placements.
	eligible, sameZoneIndices, otherZoneIndices []int
}

func newService(periods serverstate.Periods) *service {
	return &service{
		periods:       periods,
		byIncarnation: make(map[directory.Incarnation]*server),
		movingSince:   make(map[ownership.Token]time.Duration),
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// choice is the result of placing a request.
type choice struct {
	server *server
	// state is the state of the server by which it was chosen.
	state placing.Server
	token ownership.Token
	// limited are the servers that have room, but admit no further request now. They are not set if a server was chosen.
	limited []*server
	// reason states why no server was chosen. If final is set, the request is refused rather than queued.
	reason Reason
	final  bool
	// wait is the expected queueing time if no server was chosen.
	wait    time.Duration
	runTime time.Duration
}

// choose selects a server for a request or estimates how long it has to wait. ahead is the number of queued
// requests that are served first.
func (s *service) choose(request *AcquireRequest, now time.Duration, ahead int) choice {
	if s.ownedKey(request) {
		return s.chooseOwner(request, now, ahead)
	}
	return s.chooseAny(request, now, ahead)
}

// meanRunTime returns the expected run time of a request on an average server.
func (s *service) meanRunTime(request *AcquireRequest) time.Duration {
	return s.runTime.Expected(time.Duration(initialRunTimeRatio * float64(request.Target)))
}

// meanPeerRequests returns the estimated number of other gateways' requests per server.
func (s *service) meanPeerRequests() float64 {
	if len(s.servers) == 0 {
		return 0
	}
	sum := 0.0
	for _, server := range s.servers {
		sum += server.peerLoad.LastEstimate()
	}
	return sum / float64(len(s.servers))
}

// chooseAny selects a server for a request that any server of the service can run.
func (s *service) chooseAny(request *AcquireRequest, now time.Duration, ahead int) choice {
	meanRunTime, meanPeerRequests := s.meanRunTime(request), s.meanPeerRequests()
	state := func(i int) placing.Server { return s.servers[i].state(now, meanRunTime, meanPeerRequests) }
	candidates := s.candidates(request, now)
	if len(candidates.SameZone)+len(candidates.OtherZones) == 0 && len(s.limited) > 0 {
		wait := s.limitedWait(request, s.limited, ahead, now)
		return choice{reason: ReasonLimited, limited: s.limited, wait: wait, runTime: meanRunTime}
	}
	if len(candidates.SameZone)+len(candidates.OtherZones) == 0 {
		return s.withoutCandidates(now, meanRunTime)
	}
	candidates.State = state
	if i := placing.Choose(candidates, s.placingLimits(request, now), s.random); i >= 0 {
		chosen := state(i)
		return choice{server: s.servers[i], state: chosen, runTime: chosen.RunTime}
	}
	rate := 0.0
	for _, i := range slices.Concat(candidates.SameZone, candidates.OtherZones) {
		server := state(i)
		rate += float64(server.Slots) / server.RunTime.Seconds()
	}
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	return choice{reason: ReasonFull, limited: s.limited, wait: wait, runTime: meanRunTime}
}

// withoutCandidates returns the choice for a request that any server can run, if none is eligible. What the servers
// themselves have said is final: the request is refused at once.
func (s *service) withoutCandidates(now, runTime time.Duration) choice {
	leaves, zoneDrained, admitsMore, earliest := false, false, false, time.Duration(0)
	for _, server := range s.servers {
		left := server.known.HeldOffFor(now)
		switch {
		case server.known.Leaves():
			leaves = true
		case server.known.ZoneDrained():
			zoneDrained = true
		case left == 0:
			admitsMore = admitsMore || server.known.Availability(now, s.periods) > serverstate.HeldOff
		case earliest == 0 || left < earliest:
			earliest = left
		}
	}
	switch {
	case admitsMore:
		return choice{reason: ReasonFull, wait: runTime, runTime: runTime}
	case earliest > 0:
		return choice{reason: ReasonHeldOff, final: true, wait: earliest, runTime: runTime}
	case zoneDrained:
		return choice{reason: ReasonZoneDrained, final: true, wait: slowMoveWait, runTime: runTime}
	case leaves:
		return choice{reason: ReasonLeaving, final: true, wait: slowMoveWait, runTime: runTime}
	}
	return choice{reason: ReasonNoServer, wait: slowMoveWait, runTime: runTime}
}

// candidates returns the servers that are eligible for a request. Servers that already received the request are
// excluded if there are others, and suspended servers are excluded unless most servers are suspended. Servers that would
// be eligible but admit no request now are in s.limited. The result and s.limited are valid until the next call.
func (s *service) candidates(request *AcquireRequest, now time.Duration) placing.Candidates {
	eligible, tried, suspended := s.eligible[:0], []int(nil), 0
	s.limited = s.limited[:0]
	for i, server := range s.servers {
		availability := server.known.Availability(now, s.periods)
		if availability <= serverstate.Draining {
			continue
		}
		if availability == serverstate.HeldOff || !server.known.Admits(server.ownRequests, server.registered.Slots, now) {
			continue
		}
		if !s.admitsRate(server, now) {
			s.limited = append(s.limited, server)
			continue
		}
		if len(request.Tried) > 0 && slices.Contains(request.Tried, server.registered.Incarnation()) {
			tried = append(tried, i)
			continue
		}
		eligible = append(eligible, i)
		if availability == serverstate.Suspended {
			suspended++
		}
	}
	s.eligible = eligible
	if len(eligible) == 0 {
		eligible = tried
	}
	honorSuspensions := suspended > 0 && placing.HonorSuspensions(suspended, len(eligible))
	candidates := placing.Candidates{SameZone: s.sameZoneIndices[:0], OtherZones: s.otherZoneIndices[:0]}
	for _, i := range eligible {
		switch {
		case honorSuspensions && s.servers[i].known.Failures.Suspended(now):
		case s.servers[i].sameZone:
			candidates.SameZone = append(candidates.SameZone, i)
		default:
			candidates.OtherZones = append(candidates.OtherZones, i)
		}
	}
	s.sameZoneIndices, s.otherZoneIndices = candidates.SameZone, candidates.OtherZones
	return candidates
}

// chooseOwner selects the owner of the request's key if it can take the request.
func (s *service) chooseOwner(request *AcquireRequest, now time.Duration, ahead int) choice {
	meanRunTime := s.meanRunTime(request)
	row, owner := s.owner(request.Key)
	if row == nil || row.Owner.IsZero() {
		return choice{reason: ReasonNoOwner, wait: slowMoveWait, runTime: meanRunTime}
	}
	if row.Moving || owner == nil {
		return choice{reason: ReasonMoving, wait: s.moveWait(row.Token, now), runTime: meanRunTime}
	}
	if row.Token == request.StaleToken && now < request.RetryAt {
		return choice{reason: ReasonMoving, wait: request.RetryAt - now, runTime: meanRunTime}
	}
	if owner.known.Availability(now, s.periods) == serverstate.Gone {
		if owner.known.ZoneDrained() && s.allZonesDrained() {
			return choice{reason: ReasonZoneDrained, final: true, wait: slowMoveWait, runTime: meanRunTime}
		}
		return choice{reason: ReasonMoving, wait: s.moveWait(row.Token, now), runTime: meanRunTime}
	}
	state := owner.state(now, meanRunTime, s.meanPeerRequests())
	if left := owner.known.HeldOffFor(now); left > 0 {
		return choice{reason: ReasonHeldOff, wait: left, runTime: state.RunTime}
	}
	if !owner.known.Admits(owner.ownRequests, owner.registered.Slots, now) {
		return choice{reason: ReasonFull, wait: waitForRoom(state, ahead), runTime: state.RunTime}
	}
	if owner.known.Failures.Suspended(now) {
		return choice{reason: ReasonSuspended, wait: slowMoveWait, runTime: state.RunTime}
	}
	if !s.admitsRate(owner, now) {
		limited := append(s.limited[:0], owner)
		wait := s.limitedWait(request, limited, ahead, now)
		return choice{reason: ReasonLimited, limited: limited, wait: wait, runTime: state.RunTime}
	}
	limits := s.placingLimits(request, now)
	if state.HasRoom(limits) {
		return choice{server: owner, state: state, token: row.Token, runTime: state.RunTime}
	}
	return choice{reason: ReasonFull, wait: waitForRoom(state, ahead) + headroomWait(state, limits), runTime: state.RunTime}
}

// allZonesDrained reports whether no server remains to which keys could move, because the zones of all are drained.
func (s *service) allZonesDrained() bool {
	return !slices.ContainsFunc(s.servers, func(server *server) bool {
		return !server.known.ZoneDrained() && !server.known.Leaves()
	})
}

// waitForRoom returns the expected wait for room at a server. It assumes that the server's slots are divided among
// the gateways in proportion to their outstanding requests there.
func waitForRoom(state placing.Server, ahead int) time.Duration {
	share := float64(max(1, state.OwnRequests)) / max(1, state.Outstanding())
	return time.Duration(float64(ahead+1) / (float64(state.Slots) * share) * float64(state.RunTime))
}

// headroomWait returns the time until the places that a request leaves free for others are free.
func headroomWait(state placing.Server, limits placing.Limits) time.Duration {
	return time.Duration(limits.Headroom * float64(state.RunTime))
}

// placingLimits returns how full a server may be for a request.
func (s *service) placingLimits(request *AcquireRequest, now time.Duration) placing.Limits {
	late := request.IsLate(now, s.meanRunTime(request))
	return placing.Limits{Target: request.Target, Headroom: admission.Headroom(s.mix.MoreUrgent(request.Priority), late)}
}

// owner returns the ownership row of a key and its server. The server is nil if this gateway does not know it.
func (s *service) owner(key int) (*ownership.Row, *server) {
	if s.owners == nil {
		return nil, nil
	}
	row := s.owners.Find(key)
	if row == nil {
		return nil, nil
	}
	return row, s.byIncarnation[directory.Incarnation{ID: row.Owner.ID, StartedAtMs: row.Owner.StartedAtMs}]
}

// moveWait returns the expected remaining time until the keys of a row have been moved.
func (s *service) moveWait(token ownership.Token, now time.Duration) time.Duration {
	since, known := s.movingSince[token]
	if !known {
		s.movingSince[token] = now
		return typicalMoveTime
	}
	if left := typicalMoveTime - (now - since); left > 0 {
		return left
	}
	return slowMoveWait
}

// compete reports whether two requests compete for the same server. A request that any server can run competes with
// all others.
func (s *service) compete(a, b *AcquireRequest) bool {
	if !s.sharded || !a.HasKey || !b.HasKey || s.owners == nil {
		return true
	}
	rowA, rowB := s.owners.Find(a.Key), s.owners.Find(b.Key)
	if rowA == nil || rowB == nil {
		return rowA == rowB
	}
	return rowA.Owner.SameIncarnation(rowB.Owner)
}
