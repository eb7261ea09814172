package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// execution is the right of a backend server to execute a unit: a grant in force, or a dispatched request before
// its deadline.
type execution struct {
	by    Member
	token fence.Token
	// until is the absolute wall clock time of the expiry.
	until time.Duration
}

// fakeServer is a backend server. A frozen one takes nothing new, but keeps what it has.
type fakeServer struct {
	name    string
	service *config.Service
	skew    time.Duration
	frozen  bool
	running map[unit]execution
	seen    map[unit]fence.Token
}

func (s *fakeServer) executes(u unit, now time.Duration) bool {
	e, ok := s.running[u]
	return ok && now+s.skew < e.until
}

// dispatch lets a server execute a unit, and checks that no other server does and that no other home uses it.
func (g *gateway) dispatch(s *fakeServer, u unit, token fence.Token, lease time.Duration) {
	w := g.world
	if s.frozen || s.service.Fenced && token.Less(s.seen[u]) {
		return
	}
	remaining := lease - g.local()
	if !s.service.Fenced {
		longest := time.Duration(s.service.MaxRequestMillis) * ms
		remaining = min(remaining+max(0, longest-IncludedRunTime), longest)
	}
	wall := w.now + g.skew
	e := execution{by: g.node.self, token: token, until: wall + remaining}
	for _, name := range w.serverNames {
		other := w.servers[name]
		if name != s.name && other.executes(u, w.now) {
			w.violate("%v runs on %s (home %s, token %s) and %s (home %s, token %s)",
				u, name, other.running[u].by.Host, other.running[u].token, s.name, g.host, token)
		}
	}
	if old := s.running[u]; s.executes(u, w.now) {
		if old.by != e.by {
			w.violate("%s has homes %v and %v for %v", s.name, old.by, e.by, u)
		}
		e.until = max(e.until, old.until)
	}
	w.checkToken(ownedUnit{unit: u, cell: g.node.cell}, token, s.name)
	s.running[u] = e
	s.seen[u] = token
	w.dispatched[u] = w.now
}

// runHomes does what the dispatchers of this gateway do with the snapshot.
func (g *gateway) runHomes() {
	if g.down || g.paused || g.world.homesOff {
		return
	}
	snapshot := g.node.Snapshot()
	now := g.local()
	for _, name := range g.world.serverNames {
		view, ok := snapshot.Servers[name]
		if !ok || !view.Local {
			delete(g.health, name)
			delete(g.probed, name)
			continue
		}
		s := g.world.servers[name]
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

// serve dispatches what the server owns and releases what it must.
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

// release withdraws the grant of a unit, and of tracked keys that ran as part of a partition, and reports it. On a
// frozen server it waits for the expiry.
func (g *gateway) release(s *fakeServer, u unit, token fence.Token) {
	if g.releasing[u] == token {
		return
	}
	g.releasing[u] = token
	g.withdraw(s, u, func() {
		if u.key == "" && s.service.Name == "keyed" {
			if view := g.node.Snapshot().Services["keyed"]; view != nil {
				for _, key := range trackedKeys {
					if _, ok := view.HotKeys[key]; !ok && keyPartition(key) == u.partition {
						delete(s.running, unit{service: "keyed", key: key})
					}
				}
			}
		}
		r := UnitRelease{Service: u.service, Partition: u.partition, Key: u.key, Token: token}
		g.do(func() Output { return g.node.Report(g.local(), Report{Released: []UnitRelease{r}}) })
	})
}

// withdraw waits for requests in progress and removes the right of the server; on a frozen server the right runs out.
func (g *gateway) withdraw(s *fakeServer, u unit, done func()) {
	g.world.after(time.Duration(g.world.rng.Int64N(int64(60*ms))), func() {
		if g.down {
			return
		}
		e, ok := s.running[u]
		if g.paused || ok && e.by == g.node.self && s.frozen && g.world.now+g.skew < e.until+MaxClockSkew {
			g.withdraw(s, u, done)
			return
		}
		if ok && e.by == g.node.self && !s.frozen {
			delete(s.running, u)
		}
		done()
	})
}

// releaseAll gives up a server.
func (g *gateway) releaseAll(s *fakeServer, token fence.Token) {
	if g.serverOut[s.name] == token {
		return
	}
	g.serverOut[s.name] = token
	waiting := 1
	done := func() {
		if waiting--; waiting > 0 {
			return
		}
		r := ServerRelease{Server: s.name, Token: token}
		g.do(func() Output { return g.node.Report(g.local(), Report{ReleasedServers: []ServerRelease{r}}) })
	}
	for _, u := range append(g.world.units(), unit{service: s.service.Name, key: s.name}) {
		if e, ok := s.running[u]; ok && e.by == g.node.self {
			waiting++
			g.withdraw(s, u, done)
		}
	}
	g.withdraw(s, unit{}, done)
}

// probeEvery is the interval between probes of a server.
const probeEvery = 200 * ms

// probe reports the health of a server, sometimes wrongly and always late.
func (g *gateway) probe(s *fakeServer) {
	rng := g.world.rng
	if at, ok := g.probed[s.name]; !ok || g.local()-at < probeEvery {
		if !ok {
			g.probed[s.name] = g.local()
		}
		return
	}
	g.probed[s.name] = g.local()
	up := !s.frozen
	if rng.Float64() < g.world.slow/4 {
		up = !up
	}
	if known, ok := g.health[s.name]; ok && known == up {
		return
	}
	g.health[s.name] = up
	report := ServerReport{Server: s.name, Up: up, GrantEnd: g.local()}
	for _, e := range s.running {
		if e.by == g.node.self {
			report.GrantEnd = max(report.GrantEnd, g.local()+e.until-g.world.now-g.skew)
		}
	}
	g.do(func() Output { return g.node.Report(g.local(), Report{Servers: []ServerReport{report}}) })
}

// reportHot reports a tracked key as hot or as cold, without the interval between load reports.
func (g *gateway) reportHot(key string, load float64) {
	g.node.local.loadSentAt = -loadInterval
	g.do(func() Output {
		return g.node.Report(g.local(), Report{HotKeys: []KeyLoad{{Service: "keyed", Key: key, Load: load}}})
	})
}

// assignWithKeys is the default policy, and gives each hot key to the server after that of its partition.
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
