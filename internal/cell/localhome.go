package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// serverHealth is the last report on a backend server.
type serverHealth struct {
	up       bool
	draining bool
	grantEnd time.Duration
	// latch is the greatest token of the server's partitions while it was down. The home does not use them again;
	// the holder lapses and grants them anew.
	latch fence.Token
}

// localHome is what this gateway knows as home of backend servers.
type localHome struct {
	leaseEnd time.Duration
	seq      uint64
	sent     [sentHeartbeats]time.Duration

	health          map[string]*serverHealth
	released        map[unit]fence.Token
	releasedServers map[string]fence.Token

	load       map[unit]float64
	keyLoad    map[unit]float64
	serverLoad map[string]float64
	loadSentAt time.Duration
}

func newLocalHome() *localHome {
	return &localHome{
		health:          make(map[string]*serverHealth),
		released:        make(map[unit]fence.Token),
		releasedServers: make(map[string]fence.Token),
		load:            make(map[unit]float64),
		keyLoad:         make(map[unit]float64),
		serverLoad:      make(map[string]float64),
	}
}

func (l *localHome) nextSeq(now time.Duration) uint64 {
	l.seq++
	l.sent[l.seq%sentHeartbeats] = now
	return l.seq
}

// sentAt returns the send time of heartbeat seq, and false if it is too old to know.
func (l *localHome) sentAt(seq uint64) (time.Duration, bool) {
	if seq == 0 || seq > l.seq || l.seq-seq >= sentHeartbeats {
		return 0, false
	}
	return l.sent[seq%sentHeartbeats], true
}

// take records a report. It says whether the view of the local traffic changed, and whether the holder should learn of
// the report before the next heartbeat. Homes repeat their reports, so only news are urgent.
func (l *localHome) take(now time.Duration, r Report, t *table, self Member) (changed, urgent bool) {
	for _, s := range r.Servers {
		h, ok := l.health[s.Server]
		if !ok {
			h = &serverHealth{up: true}
			l.health[s.Server] = h
		}
		changed = changed || h.up != s.Up
		urgent = urgent || h.up != s.Up || h.draining != s.Draining
		h.up = s.Up
		h.draining = s.Draining
		if !s.Up {
			h.grantEnd = max(h.grantEnd, s.GrantEnd)
		}
	}
	for _, u := range r.Released {
		id := unit{service: u.Service, partition: u.Partition, key: u.Key}
		urgent = urgent || l.released[id] != u.Token
		l.released[id] = u.Token
	}
	for _, s := range r.ReleasedServers {
		urgent = urgent || l.releasedServers[s.Server] != s.Token
		l.releasedServers[s.Server] = s.Token
	}
	for _, p := range r.Load {
		l.load[unit{service: p.Service, partition: p.Partition}] = p.Load
	}
	for _, k := range r.HotKeys {
		l.keyLoad[unit{service: k.Service, key: k.Key}] = k.Load
	}
	for _, s := range r.ServerLoad {
		l.serverLoad[s.Server] = s.Load
	}
	l.prune(t, self)
	return changed, urgent
}

// prune forgets reports that the table has overtaken, and latches what is on servers that are down.
func (l *localHome) prune(t *table, self Member) {
	maps.DeleteFunc(l.released, func(u unit, token fence.Token) bool {
		owner, ok := t.owner(u)
		return !ok || owner.Token != token
	})
	maps.DeleteFunc(l.releasedServers, func(name string, token fence.Token) bool {
		e, ok := t.servers[name]
		return !ok || e.token != token || e.home != self
	})
	for name, h := range l.health {
		e, ok := t.servers[name]
		if !ok || e.home != self {
			delete(l.health, name)
			continue
		}
		if h.up && h.latch.IsZero() {
			continue
		}
		latched := false
		t.unitsOf(name, func(_ unit, owner Owner) {
			if !h.up && h.latch.Less(owner.Token) {
				h.latch = owner.Token
			}
			latched = latched || !h.latch.Less(owner.Token)
		})
		if h.up && !latched {
			h.latch = fence.Token{}
		}
	}
}

// fill adds the reports that the holder has not acted on.
func (l *localHome) fill(now time.Duration, hb *wire.Heartbeat, t *table, self Member) {
	for _, name := range slices.Sorted(maps.Keys(l.health)) {
		h := l.health[name]
		e, ok := t.servers[name]
		if !ok || h.up && h.latch.IsZero() && e.state != ServerDown && !h.draining {
			continue
		}
		status := &wire.ServerStatus{Server: name, Down: !h.up, Draining: h.draining}
		if !h.latch.IsZero() {
			status.Token = tokenToWire(h.latch)
			status.RemainingNanos = uint64(max(0, h.grantEnd-now))
		}
		hb.Servers = append(hb.Servers, status)
	}
	for _, u := range slices.SortedFunc(maps.Keys(l.released), orderUnits) {
		hb.Released = append(hb.Released, &wire.UnitRelease{
			Service: u.service, Partition: uint32(u.partition), Key: u.key, Token: tokenToWire(l.released[u]),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(l.releasedServers)) {
		token := tokenToWire(l.releasedServers[name])
		hb.ReleasedServers = append(hb.ReleasedServers, &wire.ServerRelease{Server: name, Token: token})
	}
	if now-l.loadSentAt >= loadInterval {
		l.loadSentAt = now
		l.fillLoad(hb)
	}
}

// fillLoad adds the heaviest partitions and keys. The rest counts as average at the holder.
func (l *localHome) fillLoad(hb *wire.Heartbeat) {
	byService := make(map[string]*wire.ServiceLoad)
	for _, u := range heaviest(l.load, maxLoadRows) {
		s, ok := byService[u.service]
		if !ok {
			s = &wire.ServiceLoad{Service: u.service}
			byService[u.service] = s
			hb.Load = append(hb.Load, s)
		}
		s.Partition = append(s.Partition, uint32(u.partition))
		s.MilliSlots = append(s.MilliSlots, uint32(l.load[u]*milli))
	}
	for _, u := range heaviest(l.keyLoad, maxKeyRows) {
		hb.HotKeys = append(hb.HotKeys, &wire.KeyLoad{Service: u.service, Key: u.key, Load: float32(l.keyLoad[u])})
	}
	for _, name := range slices.Sorted(maps.Keys(l.serverLoad)) {
		hb.ServerLoad = append(hb.ServerLoad, &wire.ServerLoad{Server: name, Load: float32(l.serverLoad[name])})
	}
	clear(l.load)
	clear(l.keyLoad)
	clear(l.serverLoad)
}

func heaviest(load map[unit]float64, limit int) []unit {
	units := slices.SortedFunc(maps.Keys(load), orderUnits)
	slices.SortStableFunc(units, func(a, b unit) int {
		switch {
		case load[a] > load[b]:
			return -1
		case load[a] < load[b]:
			return 1
		}
		return 0
	})
	return units[:min(limit, len(units))]
}

func orderUnits(a, b unit) int {
	if a.service != b.service {
		if a.service < b.service {
			return -1
		}
		return 1
	}
	return compareUnits(a, b)
}
