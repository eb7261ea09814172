package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/balance"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// serviceBalancers holds one load balancer for each service that is not sharded.
type serviceBalancers struct {
	start time.Time

	// mu protects the fields below.
	mu        sync.Mutex
	byService map[string]*balance.Balancer
}

func newServiceBalancers() *serviceBalancers {
	return &serviceBalancers{start: time.Now(), byService: make(map[string]*balance.Balancer)}
}

func (b *serviceBalancers) now() time.Duration { return time.Since(b.start) }

// update passes the backend servers of a new routing table to the balancers. Servers in this gateway's cell are
// candidates while they are up and have a home gateway. Servers in other cells are always candidates, because their
// state is known only in their own cell.
func (b *serviceBalancers) update(table *RoutingTable) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, route := range table.services {
		if route.Keyed {
			continue
		}
		balancer, ok := b.byService[name]
		if !ok {
			balancer = balance.New(table.zone())
			b.byService[name] = balancer
		}
		balancer.Update(candidates(table, route), b.now())
	}
}

func candidates(table *RoutingTable, route *serviceRoute) []balance.Server {
	servers := make([]balance.Server, 0, len(route.Servers))
	for _, server := range route.Servers {
		if server.Cell == table.Cell && !isUsable(table.Snapshot, server.Name) {
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

// pick selects a server and counts one more request in progress there. The caller must call complete afterwards.
func (b *serviceBalancers) pick(service string, avoid []string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balancer, ok := b.byService[service]
	if !ok {
		return "", false
	}
	return balancer.Pick(b.now(), globalRandom, avoid...)
}

// complete records the end of an attempt whose server was selected by pick.
func (b *serviceBalancers) complete(service, server string, took time.Duration, p *outcome.Problem) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if balancer, ok := b.byService[service]; ok {
		balancer.Done(server, b.now(), took, balanceResult(p))
	}
}

// reportLoad records the load that the home gateway of a server reported with a response.
func (b *serviceBalancers) reportLoad(service, server string, loadPercent uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if balancer, ok := b.byService[service]; ok {
		balancer.ReportLoad(server, loadPercent, b.now())
	}
}

// balanceResult classifies a problem by whether the backend server is to blame.
func balanceResult(p *outcome.Problem) balance.Result {
	if p == nil {
		return balance.Responded
	}
	switch p.Kind {
	case outcome.KindConnect, outcome.KindConnectionLost, outcome.KindTimeout, outcome.KindBadResponse,
		outcome.KindNoHome, outcome.KindNotHome:
		return balance.Failed
	default:
		return balance.Neutral
	}
}

// globalSource adapts the top-level random functions of math/rand/v2, which are safe for concurrent use, to
// rand.Source.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

var globalRandom = rand.New(globalSource{})
