package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/placing"
)

const (
	// usualMove is how long the keys of a live owner usually take to move.
	usualMove = 150 * time.Millisecond
	// longMove is the expected rest of a move that takes longer than usual: the old owner does not answer.
	longMove = 2 * time.Second
	// workShare is the share of the latency objective that a request is expected to run before any was measured.
	workShare = 0.33
)

// service is the traffic state of one service.
type service struct {
	sharded bool
	// drain is how long a backend server that is about to leave takes requests.
	drain time.Duration
	// listed is the list that servers was made of.
	listed  []directory.RegisteredServer
	servers []*server
	// byLife finds a server of the service.
	byLife map[directory.Incarnation]*server
	owners *ownership.Table
	// movingSince holds, by token, when this gateway first saw that a row moves.
	movingSince map[ownership.Token]time.Duration
	work        placing.RunTimeEstimate
	waiting     []*waiter
	random      *rand.Rand
	// eligible, near and far are room for indices of servers while a request is placed.
	eligible, near, far []int
}

func newService(drain time.Duration) *service {
	return &service{
		drain:       drain,
		byLife:      make(map[directory.Incarnation]*server),
		movingSince: make(map[ownership.Token]time.Duration),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// choice is the result of placing a request.
type choice struct {
	server *server
	token  ownership.Token
	// reason says why there is no server.
	reason Reason
	// wait is how long a request without a server is expected to wait.
	wait time.Duration
	work time.Duration
}

// choose places a request, or says how long it will have to wait. ahead counts the waiting requests before it.
func (s *service) choose(demand *AcquireRequest, now time.Duration, ahead int) choice {
	if s.sharded && demand.HasKey {
		return s.chooseOwner(demand, now, ahead)
	}
	return s.chooseAny(demand, now, ahead)
}

// meanWork returns how long a request is expected to run on an average server.
func (s *service) meanWork(demand *AcquireRequest) time.Duration {
	return s.work.Expected(time.Duration(workShare * float64(demand.Target)))
}

// meanOthers returns the average estimate of the requests of other gateways at a server.
func (s *service) meanOthers() float64 {
	if len(s.servers) == 0 {
		return 0
	}
	sum := 0.0
	for _, server := range s.servers {
		sum += server.others.LastEstimate()
	}
	return sum / float64(len(s.servers))
}

// chooseAny places a request that any server of the service can run.
func (s *service) chooseAny(demand *AcquireRequest, now time.Duration, ahead int) choice {
	mean, others := s.meanWork(demand), s.meanOthers()
	state := func(i int) placing.Server { return s.servers[i].state(now, mean, others) }
	candidates := s.candidates(demand, now)
	if len(candidates.SameZone)+len(candidates.OtherZones) == 0 {
		return choice{reason: ReasonNoServer, wait: longMove, work: mean}
	}
	candidates.State = state
	if i := placing.Choose(candidates, placing.Limits{Target: demand.Target}, s.random); i >= 0 {
		return choice{server: s.servers[i], work: state(i).RunTime}
	}
	rate := 0.0
	for _, i := range slices.Concat(candidates.SameZone, candidates.OtherZones) {
		server := state(i)
		rate += float64(server.Slots) / server.RunTime.Seconds()
	}
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	return choice{reason: ReasonFull, wait: wait, work: mean}
}

// candidates returns the servers that may get the request: without those that had it if there are others, and without
// suspended ones unless most are. The result is valid until the next call.
func (s *service) candidates(demand *AcquireRequest, now time.Duration) placing.Candidates {
	fresh, tried, suspended := s.eligible[:0], []int(nil), 0
	for i, server := range s.servers {
		if server.known.Draining || server.gone {
			continue
		}
		if len(demand.Tried) > 0 && slices.Contains(demand.Tried, server.known.Incarnation()) {
			tried = append(tried, i)
			continue
		}
		fresh = append(fresh, i)
		if server.record.Suspended(now) {
			suspended++
		}
	}
	s.eligible = fresh
	if len(fresh) == 0 {
		fresh = tried
	}
	trusted := suspended > 0 && placing.HonorSuspensions(suspended, len(fresh))
	candidates := placing.Candidates{SameZone: s.near[:0], OtherZones: s.far[:0]}
	for _, i := range fresh {
		switch {
		case trusted && s.servers[i].record.Suspended(now):
		case s.servers[i].local:
			candidates.SameZone = append(candidates.SameZone, i)
		default:
			candidates.OtherZones = append(candidates.OtherZones, i)
		}
	}
	s.near, s.far = candidates.SameZone, candidates.OtherZones
	return candidates
}

// chooseOwner places a request that only the owner of its key can run.
func (s *service) chooseOwner(demand *AcquireRequest, now time.Duration, ahead int) choice {
	mean := s.meanWork(demand)
	row, owner := s.owner(demand.Key)
	if row == nil || row.Owner.IsZero() {
		return choice{reason: ReasonNoOwner, wait: longMove, work: mean}
	}
	if row.Moving || owner == nil {
		return choice{reason: ReasonMoving, wait: s.moveWait(row.Token, now), work: mean}
	}
	if row.Token == demand.StaleToken && now < demand.RetryAt {
		return choice{reason: ReasonMoving, wait: demand.RetryAt - now, work: mean}
	}
	if owner.gone || owner.drained(now, s.drain) {
		return choice{reason: ReasonMoving, wait: s.moveWait(row.Token, now), work: mean}
	}
	state := owner.state(now, mean, s.meanOthers())
	if owner.record.Suspended(now) {
		return choice{reason: ReasonSuspended, wait: longMove, work: state.RunTime}
	}
	if state.HasRoom(placing.Limits{Target: demand.Target}) {
		return choice{server: owner, token: row.Token, work: state.RunTime}
	}
	return choice{reason: ReasonFull, wait: fullWait(state, ahead), work: state.RunTime}
}

// fullWait returns how long a request waits for room at a server, if each gateway gets the part of the server's slots
// that it has of the requests there.
func fullWait(state placing.Server, ahead int) time.Duration {
	part := float64(max(1, state.OwnRequests)) / max(1, state.Outstanding())
	return time.Duration(float64(ahead+1) / (float64(state.Slots) * part) * float64(state.RunTime))
}

// owner returns the row of a key and the server that owns it, if this gateway knows it.
func (s *service) owner(key int) (*ownership.Row, *server) {
	if s.owners == nil {
		return nil, nil
	}
	row := s.owners.Find(key)
	if row == nil {
		return nil, nil
	}
	return row, s.byLife[directory.Incarnation{ID: row.Owner.ID, StartedAtMs: row.Owner.Born}]
}

// moveWait returns how long the keys of a row are still expected to move.
func (s *service) moveWait(token ownership.Token, now time.Duration) time.Duration {
	since, known := s.movingSince[token]
	if !known {
		s.movingSince[token] = now
		return usualMove
	}
	if left := usualMove - (now - since); left > 0 {
		return left
	}
	return longMove
}

// sameOwner reports whether two requests wait for the same server.
func (s *service) sameOwner(a, b *AcquireRequest) bool {
	if !s.sharded || !a.HasKey || !b.HasKey || s.owners == nil {
		return true
	}
	rowA, rowB := s.owners.Find(a.Key), s.owners.Find(b.Key)
	if rowA == nil || rowB == nil {
		return rowA == rowB
	}
	return rowA.Owner.SameIncarnation(rowB.Owner)
}
