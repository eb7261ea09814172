package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// target is the next gateway of a request.
type target struct {
	host string
	// server is the selected backend server, or "" if the next gateway selects it.
	server string
}

// selectTarget selects the next gateway of the request.
func (g *Gateway) selectTarget(table *RoutingTable, c *call) (target, *outcome.Problem) {
	if c.route.Keyed {
		return g.keyedTarget(table, c)
	}
	return g.unkeyedTarget(table, c)
}

func (g *Gateway) keyedTarget(table *RoutingTable, c *call) (target, *outcome.Problem) {
	partition, owningCell := c.route.partition(c.request.Key)
	if owningCell != table.Cell {
		return g.remoteTarget(table, owningCell, c.route.homes.get(partition))
	}
	service := table.Snapshot.Services[c.request.Service]
	if service == nil {
		return target{}, noOwner("the cell has no ownership table yet")
	}
	owner := service.OwnerOf(c.request.Key)
	if owner.Server == "" {
		return target{}, noOwner("no backend server owns the key at the moment")
	}
	return homeTarget(table.Snapshot, owner.Server)
}

func homeTarget(s *cell.Snapshot, server string) (target, *outcome.Problem) {
	home := s.Servers[server].Home
	if home == "" {
		return target{}, unavailable(outcome.KindNoHome, "the owner of the key has no home at the moment")
	}
	return target{host: home, server: server}, nil
}

// remoteTarget selects a gateway of another cell: the cached home gateway unless it is marked unreachable, otherwise a
// random reachable one.
func (g *Gateway) remoteTarget(table *RoutingTable, cellName, cachedHome string) (target, *outcome.Problem) {
	now := time.Now()
	if cachedHome != "" && !g.unreachable.contains(cachedHome, now) {
		return target{host: cachedHome}, nil
	}
	hosts := table.hostsByCell[cellName]
	if len(hosts) == 0 {
		return target{}, noOwner("the cell of the key has no hosts")
	}
	offset := rand.IntN(len(hosts))
	for i := range hosts {
		if host := hosts[(offset+i)%len(hosts)]; !g.unreachable.contains(host, now) {
			return target{host: host}, nil
		}
	}
	return target{}, unavailable(outcome.KindNoHome, "no gateway in the zone of the key can be reached")
}

// unkeyedTarget selects a backend server of a service that is not sharded, unless the sending gateway has selected one.
func (g *Gateway) unkeyedTarget(table *RoutingTable, c *call) (target, *outcome.Problem) {
	if c.assignedServer != "" {
		return homeTarget(table.Snapshot, c.assignedServer)
	}
	server, problem := g.pickServer(table, c)
	if problem != nil {
		return target{}, problem
	}
	if owningCell := c.route.serverCells[server]; owningCell != table.Cell {
		t, problem := g.remoteTarget(table, owningCell, "")
		t.server = server
		return t, problem
	}
	return homeTarget(table.Snapshot, server)
}

// pickServer selects a server by load. A non-idempotent request with an idempotency key is instead sent to the server
// to which the key maps, because only the home gateway of that server can detect a duplicate. If that server is down
// or has failed the request, only a first attempt may go to another one.
func (g *Gateway) pickServer(table *RoutingTable, c *call) (string, *outcome.Problem) {
	if !c.request.Idempotent && c.request.Identity != "" {
		server := c.route.serverForIdentity(c.request.Subscriber, c.request.Identity)
		down := c.route.serverCells[server] == table.Cell && !isUsable(table.Snapshot, server)
		if !c.request.FirstAttempt || !down && !slices.Contains(c.failedServers, server) {
			return server, nil
		}
	}
	server, ok := g.balancers.pick(c.request.Service, c.failedServers)
	if !ok {
		return "", unavailable(outcome.KindNoServer, "no backend server of the service can be reached")
	}
	c.balancedServer = server
	return server, nil
}

func unavailable(kind outcome.Kind, detail string) *outcome.Problem {
	p := outcome.New(kind, http.StatusServiceUnavailable, outcome.NotExecuted, detail)
	p.RetryAfter = unavailableRetryAfter
	return p
}

func noOwner(detail string) *outcome.Problem { return unavailable(outcome.KindNoOwner, detail) }
