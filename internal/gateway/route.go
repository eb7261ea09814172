package gateway

import (
	"math/rand/v2"
	"net/http"
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

// sharedTarget chooses a backend server of a service that is not divided by key.
func (g *Gateway) sharedTarget(v *View, c *call) (target, *outcome.Problem) {
	if c.server != "" {
		return homeOf(v.Snapshot, c.server)
	}
	candidates := usable(v.Snapshot, c.route.local)
	if remote, ok := g.chooser.spill(c, candidates); ok && c.hops == 0 {
		if t, problem := g.remoteTarget(v, remote, ""); problem == nil {
			return t, nil
		}
	}
	if len(candidates) == 0 {
		return target{}, refusal(outcome.KindNoServer, "no backend server of the service is up in this zone")
	}
	return g.chooser.choose(c.request.Service, candidates), nil
}

func usable(s *cell.Snapshot, servers []string) []target {
	targets := make([]target, 0, len(servers))
	for _, name := range servers {
		if server := s.Servers[name]; server.Home != "" && server.State == cell.ServerUp {
			targets = append(targets, target{host: server.Home, server: name})
		}
	}
	return targets
}

func refusal(kind outcome.Kind, detail string) *outcome.Problem {
	p := outcome.New(kind, http.StatusServiceUnavailable, outcome.NotRun, detail)
	p.RetryAfter = noOwnerRetryAfter
	return p
}

func noOwner(detail string) *outcome.Problem { return refusal(outcome.KindNoOwner, detail) }
