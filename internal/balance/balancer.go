// Package balance implements load balancing over the backend servers of a service that is not sharded. It is
// deterministic: it has no clock, locks or goroutines, and takes monotonic time and a random number generator as
// arguments. Callers synchronize access.
//
// It uses the power of two choices: of two random servers it picks the less loaded one. The load of a server
// is the number of requests that this gateway has in progress there or, if greater, the load reported by the
// server's home, the gateway that dispatches all requests to it. The weight of the reported load decays with the
// age of the report.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// latencyEWMAWeight is the weight of a new sample in the exponentially weighted moving average of the
	// latency.
	latencyEWMAWeight = 0.1
	// latencyTolerance is the factor by which the latency of a server may exceed the mean without a penalty,
	// because the averages of identical servers vary randomly.
	latencyTolerance = 1.5
	// reportDecayLatencies is the time constant with which a reported load decays, in average latencies. In a
	// simulation of 12 gateways, longer time constants made p99 worse, because the load changes faster than
	// reports arrive.
	reportDecayLatencies = 1
	// crossZoneThreshold is the load per slot at which servers in other zones are considered.
	crossZoneThreshold = 1.0
	// crossZoneMargin is how much lower the load per slot of a server in another zone must be.
	crossZoneMargin = 0.5
	// slowStartDuration is how long a cold server takes to reach its full share of requests.
	slowStartDuration = 10 * time.Second
	// slowStartMinShare is the share of requests at the start of slow start.
	slowStartMinShare = 0.1
	// maxSampleAttempts bounds the random draws for a usable server that slow start admits.
	maxSampleAttempts = 8
)

// Server describes a backend server that can receive requests.
type Server struct {
	Name  string
	Zone  string
	Slots int
	// Cold is true if the server has just started and needs a slow start.
	Cold bool
}

// Balancer picks backend servers for the requests of one service at one gateway.
type Balancer struct {
	zone    string
	servers []*serverState
	byName  map[string]*serverState
	local   []*serverState
	remote  []*serverState
	// localShare is the fraction of requests that stay in the local zone. It is below 1 if the zone has less
	// capacity than the average zone.
	localShare float64
}

// New returns a balancer without servers for a gateway in the given availability zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, byName: make(map[string]*serverState)}
}

// Update replaces the set of servers. Servers that remain keep their statistics. New servers that are cold
// begin with a slow start.
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
	b.splitByZone()
}

// splitByZone divides the servers into those in the local zone and the others.
func (b *Balancer) splitByZone() {
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
	// Clients are spread evenly over the zones, so each zone receives an equal part of the requests
	// regardless of its capacity.
	b.localShare = 0
	if allSlots > 0 {
		b.localShare = min(1, float64(localSlots*len(zones))/float64(allSlots))
	}
}

// Pick chooses a server and counts a request in progress there until Done is called. Servers in avoid are
// chosen only if no other is usable. ok is false if no server is usable.
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
	preferred, alternative := b.local, b.remote
	if len(b.remote) > 0 && random.Float64() >= b.localShare {
		preferred, alternative = b.remote, b.local
	}
	chosen := b.pickOfTwo(preferred, now, random, avoid)
	if chosen == nil {
		return b.pickOfTwo(alternative, now, random, avoid)
	}
	if chosen.loadPerSlot(now) < crossZoneThreshold {
		return chosen
	}
	other := b.pickOfTwo(alternative, now, random, avoid)
	if other != nil && other.loadPerSlot(now)+crossZoneMargin < chosen.loadPerSlot(now) {
		return other
	}
	return chosen
}

// pickOfTwo returns the server with the lower score of two random candidates, or nil if none is usable.
func (b *Balancer) pickOfTwo(
	candidates []*serverState, now time.Duration, random *rand.Rand, avoid []string,
) *serverState {
	first := b.sample(candidates, now, random, avoid, nil)
	if first == nil {
		return nil
	}
	second := b.sample(candidates, now, random, avoid, first)
	if second == nil {
		return first
	}
	meanLatency := b.meanLatency()
	firstScore := first.score(now, meanLatency)
	secondScore := second.score(now, meanLatency)
	if secondScore < firstScore {
		return second
	}
	return first
}

// sample returns a random usable server other than exclude, or nil. A server in slow start is accepted with a
// probability equal to its share, so that a recovering server is not overloaded.
func (b *Balancer) sample(
	candidates []*serverState, now time.Duration, random *rand.Rand, avoid []string, exclude *serverState,
) *serverState {
	var fallback *serverState
	for range maxSampleAttempts {
		if len(candidates) == 0 {
			return nil
		}
		state := candidates[random.IntN(len(candidates))]
		if state == exclude || !state.usable(now) || slices.Contains(avoid, state.Name) {
			continue
		}
		if random.Float64() < state.slowStartShare(now) {
			return state
		}
		fallback = state
	}
	if fallback != nil && exclude == nil {
		return fallback
	}
	return b.firstUsable(candidates, now, avoid, exclude)
}

// firstUsable returns the first usable server, or nil. It is the fallback if random sampling found none because
// most servers are unusable. It returns nil if exclude is set, since a second candidate is optional.
func (b *Balancer) firstUsable(
	candidates []*serverState, now time.Duration, avoid []string, exclude *serverState,
) *serverState {
	if exclude != nil {
		return nil
	}
	for _, state := range candidates {
		if state.usable(now) && !slices.Contains(avoid, state.Name) {
			return state
		}
	}
	return nil
}

// ReportLoad records the load that a server's home reported: requests queued or in progress, in percent of the
// slots.
func (b *Balancer) ReportLoad(name string, loadPercent uint32, now time.Duration) {
	state := b.byName[name]
	if state == nil {
		return
	}
	state.reportedLoad = float64(loadPercent) / 100 * float64(state.Slots)
	state.reportedAt = now
	state.hasReport = true
}

// Done records the completion and result of a request counted by Pick.
func (b *Balancer) Done(name string, now, took time.Duration, result Result) {
	state := b.byName[name]
	if state == nil {
		return
	}
	state.inProgress--
	switch result {
	case Responded:
		state.recordResponse(took)
	case Failed:
		state.recordFailure(now, b.canEject(now))
	}
}

// canEject reports whether another server may be ejected. At least half of the servers stay usable: if more
// fail, the cause is probably not in the servers.
func (b *Balancer) canEject(now time.Duration) bool {
	usable := 0
	for _, state := range b.servers {
		if state.usable(now) {
			usable++
		}
	}
	return 2*(usable-1) >= len(b.servers)
}

// meanLatency returns the geometric mean of the average latencies of the servers in nanoseconds, or 0 if
// there are none.
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
