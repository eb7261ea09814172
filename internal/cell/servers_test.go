package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// permission lets a backend server execute a unit: a grant in force, or a request that was sent to it and
// whose deadline has not passed.
type permission struct {
	home  Member
	token fence.Token
	// until is the absolute wall clock time of the expiry.
	until time.Duration
}

// fakeServer is a backend server. A frozen one accepts nothing new, but keeps its permissions.
type fakeServer struct {
	name         string
	service      *config.Service
	skew         time.Duration
	frozen       bool
	permissions  map[unit]permission
	highestToken map[unit]fence.Token
}

func (s *fakeServer) mayExecute(u unit, now time.Duration) bool {
	e, ok := s.permissions[u]
	return ok && now+s.skew < e.until
}

// dispatch lets a server execute a unit, and checks that no other server executes it and that no other home uses the
// server for it.
func (g *gateway) dispatch(s *fakeServer, u unit, token fence.Token, lease time.Duration) {
	w := g.simulation
	if s.frozen || s.service.Fenced && token.Less(s.highestToken[u]) {
		return
	}
	remaining := lease - g.local()
	if !s.service.Fenced {
		longest := time.Duration(s.service.MaxRequestMillis) * ms
		remaining = min(remaining+max(0, longest-IncludedRunTime), longest)
	}
	wall := w.now + g.skew
	e := permission{home: g.node.self, token: token, until: wall + remaining}
	for _, name := range w.serverNames {
		other := w.servers[name]
		if name != s.name && other.mayExecute(u, w.now) {
			w.addViolation("%v executes on %s (home %s, token %s) and %s (home %s, token %s)",
				u, name, other.permissions[u].home.Host, other.permissions[u].token, s.name, g.host, token)
		}
	}
	if old := s.permissions[u]; s.mayExecute(u, w.now) {
		if old.home != e.home {
			w.addViolation("%s has homes %v and %v for %v", s.name, old.home, e.home, u)
		}
		e.until = max(e.until, old.until)
	}
	w.checkTokenOrder(ownedUnit{unit: u, cell: g.node.cell}, token, s.name)
	s.permissions[u] = e
	s.highestToken[u] = token
	w.dispatched[u] = w.now
}

// runHomes acts on the snapshot as the homes of this gateway do.
func (g *gateway) runHomes() {
	if g.down || g.paused || g.simulation.skipHomes {
		return
	}
	snapshot := g.node.Snapshot()
	now := g.local()
	for _, name := range g.simulation.serverNames {
		view, ok := snapshot.Servers[name]
		if !ok || !view.Local {
			delete(g.health, name)
			delete(g.probed, name)
			continue
		}
		s := g.simulation.servers[name]
		g.probe(s)
		snapshot = g.node.Snapshot()
		if view.Releasing {
			g.releaseAll(s, view.Token)
			continue
		}
		if now < snapshot.HomeLeaseEnd {
			g.serve(s, snapshot)
		}
	}
}

// serve dispatches the units that the server owns and releases those that are releasing.
func (g *gateway) serve(s *fakeServer, snapshot *Snapshot) {
	view, ok := snapshot.Services[s.service.Name]
	if !ok {
		if !s.service.Keyed {
			g.dispatch(s, unit{service: s.service.Name, key: s.name}, snapshot.Servers[s.name].Token, snapshot.HomeLeaseEnd)
		}
		return
	}
	for p, owner := range view.Owners {
		u := unit{service: s.service.Name, partition: keyspace.Partition(p)}
		g.serveUnit(s, u, owner, snapshot.HomeLeaseEnd)
	}
	if s.service.Name != "keyed" {
		return
	}
	for _, key := range trackedKeys {
		owner, ok := view.HotKeys[key]
		if !ok {
			owner = view.Owners[keyPartition(key)]
			if owner.Releasing {
				continue
			}
		}
		g.serveUnit(s, unit{service: "keyed", key: key}, owner, snapshot.HomeLeaseEnd)
	}
}

func (g *gateway) serveUnit(s *fakeServer, u unit, owner Owner, lease time.Duration) {
	if owner.Server != s.name {
		return
	}
	if owner.Releasing {
		g.release(s, u, owner.Token)
		return
	}
	g.dispatch(s, u, owner.Token, lease)
}

// release withdraws the permission for a unit, and for tracked keys that were executed as part of the partition, and
// reports the release. On a frozen server it waits until the permission expires.
func (g *gateway) release(s *fakeServer, u unit, token fence.Token) {
	if g.releasedUnits[u] == token {
		return
	}
	g.releasedUnits[u] = token
	g.withdraw(s, u, func() {
		if u.key == "" && s.service.Name == "keyed" {
			if view := g.node.Snapshot().Services["keyed"]; view != nil {
				for _, key := range trackedKeys {
					if _, ok := view.HotKeys[key]; !ok && keyPartition(key) == u.partition {
						delete(s.permissions, unit{service: "keyed", key: key})
					}
				}
			}
		}
		r := UnitRelease{Service: u.service, Partition: u.partition, Key: u.key, Token: token}
		g.runStep(func() Output { return g.node.Report(g.local(), Report{Released: []UnitRelease{r}}) })
	})
}

// withdraw waits for requests in progress and removes the permission of the server. On a frozen server it waits until
// the permission expires.
func (g *gateway) withdraw(s *fakeServer, u unit, done func()) {
	g.simulation.after(time.Duration(g.simulation.rng.Int64N(int64(60*ms))), func() {
		if g.down {
			return
		}
		e, ok := s.permissions[u]
		if g.paused || ok && e.home == g.node.self && s.frozen && g.simulation.now+g.skew < e.until+MaxClockSkew {
			g.withdraw(s, u, done)
			return
		}
		if ok && e.home == g.node.self && !s.frozen {
			delete(s.permissions, u)
		}
		done()
	})
}

// releaseAll releases all units of a server and then the server.
func (g *gateway) releaseAll(s *fakeServer, token fence.Token) {
	if g.releasedServers[s.name] == token {
		return
	}
	g.releasedServers[s.name] = token
	waiting := 1
	done := func() {
		if waiting--; waiting > 0 {
			return
		}
		r := ServerRelease{Server: s.name, Token: token}
		g.runStep(func() Output { return g.node.Report(g.local(), Report{ReleasedServers: []ServerRelease{r}}) })
	}
	for _, u := range append(g.simulation.units(), unit{service: s.service.Name, key: s.name}) {
		if e, ok := s.permissions[u]; ok && e.home == g.node.self {
			waiting++
			g.withdraw(s, u, done)
		}
	}
	g.withdraw(s, unit{}, done)
}

// serverProbeInterval is the interval between probes of a server.
const serverProbeInterval = 200 * ms

// probe reports the health of a server with a delay, and sometimes wrongly.
func (g *gateway) probe(s *fakeServer) {
	rng := g.simulation.rng
	if at, ok := g.probed[s.name]; !ok || g.local()-at < serverProbeInterval {
		if !ok {
			g.probed[s.name] = g.local()
		}
		return
	}
	g.probed[s.name] = g.local()
	up := !s.frozen
	if rng.Float64() < g.simulation.slowDelivery/4 {
		up = !up
	}
	if known, ok := g.health[s.name]; ok && known == up {
		return
	}
	g.health[s.name] = up
	report := ServerReport{Server: s.name, Up: up, WorkEnd: g.local()}
	for _, e := range s.permissions {
		if e.home == g.node.self {
			report.WorkEnd = max(report.WorkEnd, g.local()+e.until-g.simulation.now-g.skew)
		}
	}
	g.runStep(func() Output { return g.node.Report(g.local(), Report{Servers: []ServerReport{report}}) })
}

// reportHot reports the load of a tracked key without waiting for the interval between load reports.
func (g *gateway) reportHot(key string, load float64) {
	g.node.local.loadSentAt = -loadReportInterval
	g.runStep(func() Output {
		return g.node.Report(g.local(), Report{HotKeys: []KeyLoad{{Service: "keyed", Key: key, Load: load}}})
	})
}

// assignWithKeys is the default policy, extended to assign each hot key to the server after that of its partition.
func assignWithKeys(r AssignRequest) AssignResult {
	result := AssignEvenly(r)
	result.Keys = nil
	for _, k := range r.Keys {
		owner := result.Owners[keyspace.PartitionOf(k.Key, len(r.Previous))]
		if k.Load < 0.5 || owner == Unowned {
			continue
		}
		next := (owner + 1) % len(r.Servers)
		if r.Servers[next].State == ServerUp {
			result.Keys = append(result.Keys, KeyOwner{Key: k.Key, Server: next})
		}
	}
	return result
}
