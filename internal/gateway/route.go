package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// target is where a call goes next.
type target struct {
	host string
	// server is the chosen backend server, or "" if the next gateway chooses.
	server string
}

// target finds the next gateway of the call.
func (g *Gateway) target(v *View, c *call) (target, *outcome.Problem) {
	if c.route.Keyed {
		return g.keyedTarget(v, c)
	}
	return g.sharedTarget(v, c)
}

func (g *Gateway) keyedTarget(v *View, c *call) (target, *outcome.Problem) {
	partition, owningCell := c.route.partition(c.request.Key)
	if owningCell != v.Cell {
		return g.remoteTarget(v, owningCell, c.route.hints.get(partition))
	}
	service := v.Snapshot.Services[c.request.Service]
	if service == nil {
		return target{}, noOwner("the cell has no ownership table yet")
	}
	owner := service.OwnerOf(c.request.Key)
	if owner.Server == "" {
		return target{}, noOwner("no backend server owns the key at the moment")
	}
	return homeOf(v.Snapshot, owner.Server)
}

func homeOf(s *cell.Snapshot, server string) (target, *outcome.Problem) {
	home := s.Servers[server].Home
	if home == "" {
		return target{}, refusal(outcome.KindNoHome, "the owner of the key has no home at the moment")
	}
	return target{host: home, server: server}, nil
}

// remoteTarget chooses a gateway of another cell: the hint if it can be reached, else any.
func (g *Gateway) remoteTarget(v *View, cellName, hint string) (target, *outcome.Problem) {
	now := time.Now()
	if hint != "" && !g.suspects.has(hint, now) {
		return target{host: hint}, nil
	}
	hosts := v.cells[cellName]
	if len(hosts) == 0 {
		return target{}, noOwner("the cell of the key has no hosts")
	}
	offset := rand.IntN(len(hosts))
	for i := range hosts {
		if host := hosts[(offset+i)%len(hosts)]; !g.suspects.has(host, now) {
			return target{host: host}, nil
		}
	}
	return target{}, refusal(outcome.KindNoHome, "no gateway in the zone of the key can be reached")
}

// sharedTarget chooses a backend server of a service that is not divided by key, unless the sender did.
func (g *Gateway) sharedTarget(v *View, c *call) (target, *outcome.Problem) {
	if c.server != "" {
		return homeOf(v.Snapshot, c.server)
	}
	server, problem := g.chooseServer(v, c)
	if problem != nil {
		return target{}, problem
	}
	if owning := c.route.cells[server]; owning != v.Cell {
		t, problem := g.remoteTarget(v, owning, "")
		t.server = server
		return t, problem
	}
	return homeOf(v.Snapshot, server)
}

// chooseServer picks by load. A request that must run once and carries an identity goes to the server that its
// identity maps to, because only that server's home can recognize a repeat.
// Only a first attempt may go elsewhere if that server cannot take it.
func (g *Gateway) chooseServer(v *View, c *call) (string, *outcome.Problem) {
	if !c.request.Idempotent && c.request.Identity != "" {
		server := c.route.serverOf(c.request.Subscriber, c.request.Identity)
		down := c.route.cells[server] == v.Cell && !isUsable(v.Snapshot, server)
		if !c.request.FirstAttempt || !down && !slices.Contains(c.avoid, server) {
			return server, nil
		}
	}
	server, ok := g.balancers.pick(c.request.Service, c.avoid)
	if !ok {
		return "", refusal(outcome.KindNoServer, "no backend server of the service can be reached")
	}
	c.picked = server
	return server, nil
}

func refusal(kind outcome.Kind, detail string) *outcome.Problem {
	p := outcome.New(kind, http.StatusServiceUnavailable, outcome.NotExecuted, detail)
	p.RetryAfter = noOwnerRetryAfter
	return p
}

func noOwner(detail string) *outcome.Problem { return refusal(outcome.KindNoOwner, detail) }
