package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/balance"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// balancers hold what this gateway observes of the backend servers of each service that is not divided by key.
type balancers struct {
	start time.Time

	// mu protects the fields below.
	mu        sync.Mutex
	byService map[string]*balance.Balancer
}

func newBalancers() *balancers {
	return &balancers{start: time.Now(), byService: make(map[string]*balance.Balancer)}
}

func (b *balancers) now() time.Duration { return time.Since(b.start) }

// update follows a new view. Servers of the own cell can be chosen while they are up and have a home; those of
// other cells always, because only their own cell knows their state.
func (b *balancers) update(v *View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, route := range v.services {
		if route.Keyed {
			continue
		}
		balancer, ok := b.byService[name]
		if !ok {
			balancer = balance.New(v.zone())
			b.byService[name] = balancer
		}
		balancer.Update(candidates(v, route), b.now())
	}
}

func candidates(v *View, route *serviceRoute) []balance.Server {
	servers := make([]balance.Server, 0, len(route.Servers))
	for _, server := range route.Servers {
		if server.Cell == v.Cell && !isUsable(v.Snapshot, server.Name) {
			continue
		}
		servers = append(servers, balance.Server{Name: server.Name, Zone: server.Zone, Slots: route.Slots, Cold: true})
	}
	return servers
}

func isUsable(s *cell.Snapshot, server string) bool {
	view := s.Servers[server]
	return view.Home != "" && view.State == cell.ServerUp
}

// pick chooses a server and counts a call in progress there. done must follow.
func (b *balancers) pick(service string, avoid []string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balancer, ok := b.byService[service]
	if !ok {
		return "", false
	}
	return balancer.Pick(b.now(), globalRandom, avoid...)
}

// done ends a call that pick started.
func (b *balancers) done(service, server string, took time.Duration, p *outcome.Problem) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if balancer, ok := b.byService[service]; ok {
		balancer.Done(server, b.now(), took, resultOf(p))
	}
}

// reported takes the load that the home of a server reported with an answer.
func (b *balancers) reported(service, server string, loadPercent uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if balancer, ok := b.byService[service]; ok {
		balancer.ReportLoad(server, loadPercent, b.now())
	}
}

// resultOf says what a problem tells about the backend server.
func resultOf(p *outcome.Problem) balance.Result {
	if p == nil {
		return balance.Answered
	}
	switch p.Kind {
	case outcome.KindConnect, outcome.KindConnectionLost, outcome.KindTimeout, outcome.KindBadResponse,
		outcome.KindNoHome, outcome.KindNotHome:
		return balance.Failed
	default:
		return balance.Neutral
	}
}

// globalSource adapts the random functions of math/rand/v2, which are safe for concurrent use.
type globalSource struct{}

// Uint64 returns a random number.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

var globalRandom = rand.New(globalSource{})
