// Package balance chooses among the backend servers of a service that is not divided by key. It is pure: it
// has no clock, lock or goroutine, and takes monotonic time and random numbers as arguments.
//
// Of two random servers it takes the less loaded one. The load is what the choosing gateway has in progress
// there or, if greater, what the server's home reported, which counts less the older it is.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// latencyWeight is the weight of one request in the moving average of the latency.
	latencyWeight = 0.1
	// latencyBand is the factor by which latencies may differ without a consequence: the averages of equal
	// servers differ by chance.
	latencyBand = 1.5
	// reportMemory is the time, in average latencies, in which a reported load loses most of its meaning. In
	// a model of 12 gateways, longer memories make p99 worse, because the load changes faster than reports
	// arrive.
	reportMemory = 1
	// spillAt is the load per slot from which on other zones are considered.
	spillAt = 1.0
	// spillGain is the load per slot by which a server of another zone must be better.
	spillGain = 0.5
	// rampTime is the time in which a cold server comes to its full share.
	rampTime = 10 * time.Second
	// rampFloor is the share of a server at the begin of its ramp.
	rampFloor = 0.1
	// maxSamples bounds the attempts to find a server that passes its ramp.
	maxSamples = 8
)

// Server is a backend server that can be chosen.
type Server struct {
	Name  string
	Zone  string
	Slots int
	// Cold is true if the server has just started.
	Cold bool
}

// Balancer chooses backend servers for one gateway and service.
type Balancer struct {
	zone    string
	servers []*serverState
	byName  map[string]*serverState
	local   []*serverState
	remote  []*serverState
	// localShare is the share of requests that stays in the zone although others have more capacity.
	localShare float64
}

// New returns a balancer for a gateway in the given zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, byName: make(map[string]*serverState)}
}

// Update replaces the servers. Those that stay keep their observations. Servers that join later than the
// first Update and are cold start with a ramp.
func (b *Balancer) Update(servers []Server, now time.Duration) {
	states := make([]*serverState, 0, len(servers))
	byName := make(map[string]*serverState, len(servers))
	for _, server := range servers {
		state := b.byName[server.Name]
		if state == nil {
			state = newServerState(server, b.meanLatency(), now)
		}
		state.Server = server
		states = append(states, state)
		byName[server.Name] = state
	}
	b.servers = states
	b.byName = byName
	b.divide()
}

// divide splits the servers into the own zone and the others.
func (b *Balancer) divide() {
	b.local = nil
	b.remote = nil
	zones := make(map[string]bool)
	localSlots, allSlots := 0, 0
	for _, state := range b.servers {
		zones[state.Zone] = true
		allSlots += state.Slots
		if state.Zone == b.zone {
			b.local = append(b.local, state)
			localSlots += state.Slots
		} else {
			b.remote = append(b.remote, state)
		}
	}
	// Callers reach all zones alike, so a zone gets an equal part of the requests whatever its capacity.
	b.localShare = 0
	if allSlots > 0 {
		b.localShare = min(1, float64(localSlots*len(zones))/float64(allSlots))
	}
}

// Pick chooses a server and counts a request in progress there. Done must follow. Servers in avoid are
// chosen only if there is no other. ok is false if there is no usable server.
func (b *Balancer) Pick(now time.Duration, random *rand.Rand, avoid ...string) (name string, ok bool) {
	state := b.pick(now, random, avoid)
	if state == nil && len(avoid) > 0 {
		state = b.pick(now, random, nil)
	}
	if state == nil {
		return "", false
	}
	state.inProgress++
	return state.Name, true
}

func (b *Balancer) pick(now time.Duration, random *rand.Rand, avoid []string) *serverState {
	first, second := b.local, b.remote
	if len(b.remote) > 0 && random.Float64() >= b.localShare {
		first, second = b.remote, b.local
	}
	chosen := b.lessLoaded(first, now, random, avoid)
	if chosen == nil {
		return b.lessLoaded(second, now, random, avoid)
	}
	if chosen.perSlot(now) < spillAt {
		return chosen
	}
	other := b.lessLoaded(second, now, random, avoid)
	if other != nil && other.perSlot(now)+spillGain < chosen.perSlot(now) {
		return other
	}
	return chosen
}

// lessLoaded returns the better of two random servers.
func (b *Balancer) lessLoaded(among []*serverState, now time.Duration, random *rand.Rand, avoid []string) *serverState {
	one := b.sample(among, now, random, avoid, nil)
	if one == nil {
		return nil
	}
	two := b.sample(among, now, random, avoid, one)
	if two == nil {
		return one
	}
	typical := b.meanLatency()
	scoreOne := one.score(now, typical)
	scoreTwo := two.score(now, typical)
	if scoreTwo < scoreOne {
		return two
	}
	return one
}

// sample returns a random server that may be used, or nil. A server in its ramp is taken with the
// probability of its share, so that a server that comes back is not flooded.
func (b *Balancer) sample(
	among []*serverState, now time.Duration, random *rand.Rand, avoid []string, not *serverState,
) *serverState {
	var fallback *serverState
	for range maxSamples {
		if len(among) == 0 {
			return nil
		}
		state := among[random.IntN(len(among))]
		if state == not || !state.usable(now) || slices.Contains(avoid, state.Name) {
			continue
		}
		if random.Float64() < state.ramp(now) {
			return state
		}
		fallback = state
	}
	if fallback != nil && not == nil {
		return fallback
	}
	return b.scan(among, now, avoid, not)
}

// scan returns the first usable server. It serves when most servers cannot be used.
func (b *Balancer) scan(among []*serverState, now time.Duration, avoid []string, not *serverState) *serverState {
	if not != nil {
		return nil
	}
	for _, state := range among {
		if state.usable(now) && !slices.Contains(avoid, state.Name) {
			return state
		}
	}
	return nil
}

// ReportLoad takes the load that a server's home reported: requests queued or in progress, over the slots.
func (b *Balancer) ReportLoad(name string, loadPercent uint32, now time.Duration) {
	state := b.byName[name]
	if state == nil {
		return
	}
	state.reported = float64(loadPercent) / 100 * float64(state.Slots)
	state.reportedAt = now
	state.hasReport = true
}

// Done ends a request that Pick started.
func (b *Balancer) Done(name string, now, took time.Duration, result Result) {
	state := b.byName[name]
	if state == nil {
		return
	}
	state.inProgress--
	switch result {
	case Answered:
		state.answered(took)
	case Failed:
		state.failed(now, b.mayEject(now))
	}
}

// mayEject keeps at least half of the servers: if more fail, the fault is more likely not theirs.
func (b *Balancer) mayEject(now time.Duration) bool {
	usable := 0
	for _, state := range b.servers {
		if state.usable(now) {
			usable++
		}
	}
	return 2*(usable-1) >= len(b.servers)
}

// meanLatency returns the geometric mean of the observed latencies, in nanoseconds, or 0.
func (b *Balancer) meanLatency() float64 {
	sum, n := 0.0, 0
	for _, state := range b.servers {
		if state.latency > 0 {
			sum += math.Log(state.latency)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return math.Exp(sum / float64(n))
}
