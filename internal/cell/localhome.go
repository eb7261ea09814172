package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// serverHealth is the last health report on a backend server.
type serverHealth struct {
	up       bool
	draining bool
	grantEnd time.Duration
	// revoked is the greatest token that a partition or hot key of the server had while the server was down. The home
	// does not use tokens up to it again; the holder waits for their grants to expire and grants new ones.
	revoked fence.Token
}

// localHome is the state of this gateway as home of backend servers.
type localHome struct {
	leaseEnd  time.Duration
	seq       uint64
	sendTimes [sendTimesKept]time.Duration

	health          map[string]*serverHealth
	released        map[unit]fence.Token
	releasedServers map[string]fence.Token

	partitionLoad map[unit]float64
	keyLoad       map[unit]float64
	serverLoad    map[string]float64
	loadSentAt    time.Duration
}

func newLocalHome() *localHome {
	return &localHome{
		health:          make(map[string]*serverHealth),
		released:        make(map[unit]fence.Token),
		releasedServers: make(map[string]fence.Token),
		partitionLoad:   make(map[unit]float64),
		keyLoad:         make(map[unit]float64),
		serverLoad:      make(map[string]float64),
	}
}

func (l *localHome) nextSeq(now time.Duration) uint64 {
	l.seq++
	l.sendTimes[l.seq%sendTimesKept] = now
	return l.seq
}

// sentAt returns the send time of heartbeat seq, or false if it is no longer kept.
func (l *localHome) sentAt(seq uint64) (time.Duration, bool) {
	if seq == 0 || seq > l.seq || l.seq-seq >= sendTimesKept {
		return 0, false
	}
	return l.sendTimes[seq%sendTimesKept], true
}

// applyReport records a report. It returns whether the snapshot must change, and whether the holder should get the
// report before the next heartbeat. Homes repeat their reports, so only changes are urgent.
func (l *localHome) applyReport(now time.Duration, r Report, t *table, self Member) (changed, urgent bool) {
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
			h.grantEnd = max(h.grantEnd, s.WorkEnd)
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
		l.partitionLoad[unit{service: p.Service, partition: p.Partition}] = p.Load
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

// prune discards reports that the table makes obsolete, and updates the revoked tokens of servers that are down.
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
		if h.up && h.revoked.IsZero() {
			continue
		}
		inUse := false
		t.forEachUnitOf(name, func(_ unit, owner Owner) {
			if !h.up && h.revoked.Less(owner.Token) {
				h.revoked = owner.Token
			}
			inUse = inUse || !h.revoked.Less(owner.Token)
		})
		if h.up && !inUse {
			h.revoked = fence.Token{}
		}
	}
}

// fillHeartbeat adds the reports that the table does not reflect yet.
func (l *localHome) fillHeartbeat(now time.Duration, hb *wire.Heartbeat, t *table, self Member) {
	for _, name := range slices.Sorted(maps.Keys(l.health)) {
		h := l.health[name]
		e, ok := t.servers[name]
		if !ok || h.up && h.revoked.IsZero() && e.state != ServerDown && !h.draining {
			continue
		}
		status := &wire.ServerStatus{Server: name, Down: !h.up, Draining: h.draining}
		if !h.revoked.IsZero() {
			status.Token = tokenToWire(h.revoked)
			status.RemainingNanos = uint64(max(0, h.grantEnd-now))
		}
		hb.Servers = append(hb.Servers, status)
	}
	for _, u := range slices.SortedFunc(maps.Keys(l.released), compareUnits) {
		hb.Released = append(hb.Released, &wire.UnitRelease{
			Service: u.service, Partition: uint32(u.partition), Key: u.key, Token: tokenToWire(l.released[u]),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(l.releasedServers)) {
		token := tokenToWire(l.releasedServers[name])
		hb.ReleasedServers = append(hb.ReleasedServers, &wire.ServerRelease{Server: name, Token: token})
	}
	if now-l.loadSentAt >= loadReportInterval {
		l.loadSentAt = now
		l.fillLoad(hb)
	}
}

// fillLoad adds the partitions and keys with the highest load. The holder treats the others as average.
func (l *localHome) fillLoad(hb *wire.Heartbeat) {
	byService := make(map[string]*wire.ServiceLoad)
	for _, u := range highestLoads(l.partitionLoad, maxReportedPartitions) {
		s, ok := byService[u.service]
		if !ok {
			s = &wire.ServiceLoad{Service: u.service}
			byService[u.service] = s
			hb.Load = append(hb.Load, s)
		}
		s.Partition = append(s.Partition, uint32(u.partition))
		s.MilliSlots = append(s.MilliSlots, uint32(l.partitionLoad[u]*milliSlotsPerSlot))
	}
	for _, u := range highestLoads(l.keyLoad, maxReportedKeys) {
		hb.HotKeys = append(hb.HotKeys, &wire.KeyLoad{Service: u.service, Key: u.key, Load: float32(l.keyLoad[u])})
	}
	for _, name := range slices.Sorted(maps.Keys(l.serverLoad)) {
		hb.ServerLoad = append(hb.ServerLoad, &wire.ServerLoad{Server: name, Load: float32(l.serverLoad[name])})
	}
	clear(l.partitionLoad)
	clear(l.keyLoad)
	clear(l.serverLoad)
}

func highestLoads(load map[unit]float64, limit int) []unit {
	units := slices.SortedFunc(maps.Keys(load), compareUnits)
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

func compareUnits(a, b unit) int {
	if a.service != b.service {
		if a.service < b.service {
			return -1
		}
		return 1
	}
	return compareUnitsOfService(a, b)
}
