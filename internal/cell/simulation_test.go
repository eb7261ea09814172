package cell

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

const ms = time.Millisecond

// simulation runs gateways, backend servers and a store over a simulated network in simulated time. It checks the
// invariants after each event and collects violations.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	events   eventQueue
	seq      uint64
	config   *config.Config
	gateways map[string]*gateway
	hosts    []string
	servers  map[string]*fakeServer
	// serverNames holds the names of all servers, including those removed from the configuration.
	serverNames []string
	store       *fakeStore
	faults      faults
	blocked     map[[2]string]bool
	// Probabilities of network faults, per message.
	loss, duplicate, slowDelivery float64

	maxToken        map[ownedUnit]fence.Token
	tableHashes     map[tableVersion]uint64
	maxAcknowledged map[tableVersion]uint64
	dispatched      map[unit]time.Duration
	violations      []string
	trace           []string
	traced          bool
	// skipHomes disables the simulated homes, to measure the control traffic alone.
	skipHomes bool
}

// ownedUnit is a unit of one cell. Tokens of different cells are not comparable, and no server gets tokens of both.
type ownedUnit struct {
	unit
	cell string
}

// tableVersion identifies a version of the table of one cell, or a whole generation if version is 0.
type tableVersion struct {
	cell                string
	generation, version uint64
}

// testConfig returns a configuration with the given numbers of gateways: hosts in cell c1, and foreign in another cell
// c2. If c2 has two gateways or more, it also has servers of service keyed.
func testConfig(hosts, foreign int) *config.Config {
	c := &config.Config{Revision: 1, Zones: []config.Zone{{Name: "z1"}, {Name: "z2"}}}
	for i := range hosts {
		c.Hosts = append(c.Hosts, config.Host{Name: fmt.Sprintf("h%d", i+1), Zone: "z1", Cell: "c1"})
	}
	for i := range foreign {
		c.Hosts = append(c.Hosts, config.Host{Name: fmt.Sprintf("f%d", i+1), Zone: "z2", Cell: "c2"})
	}
	add := func(s config.Service, servers int) {
		for i := range servers {
			s.Servers = append(s.Servers, config.Server{Name: fmt.Sprintf("%s%d", s.Name, i+1), Zone: "z1", Cell: "c1"})
		}
		c.Services = append(c.Services, s)
	}
	add(config.Service{Name: "keyed", Keyed: true, Partitions: 8, Fenced: true, MaxRequestMillis: 400}, 3)
	add(config.Service{Name: "plain", Keyed: true, Partitions: 4, MaxRequestMillis: 700}, 2)
	add(config.Service{Name: "pool", MaxRequestMillis: 400}, 2)
	if foreign > 1 {
		for _, name := range []string{"keyed4", "keyed5"} {
			c.Services[0].Servers = append(c.Services[0].Servers, config.Server{Name: name, Zone: "z2", Cell: "c2"})
		}
	}
	return c
}

func newSimulation(seed uint64, c *config.Config, f faults) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0x5a)), config: c, faults: f,
		gateways: make(map[string]*gateway), servers: make(map[string]*fakeServer), blocked: make(map[[2]string]bool),
		maxToken: make(map[ownedUnit]fence.Token), tableHashes: make(map[tableVersion]uint64), maxAcknowledged: make(map[tableVersion]uint64),
		dispatched: make(map[unit]time.Duration),
	}
	w.store = &fakeStore{simulation: w, values: make(map[string]fakeEntry), up: true}
	for i := range c.Services {
		s := &c.Services[i]
		for _, server := range s.Servers {
			w.servers[server.Name] = &fakeServer{
				name: server.Name, service: s, skew: w.skew(), permissions: make(map[unit]permission), highestToken: make(map[unit]fence.Token),
			}
		}
	}
	w.serverNames = sortedKeys(w.servers)
	for _, host := range c.Hosts {
		w.hosts = append(w.hosts, host.Name)
		w.start(host.Name)
	}
	return w
}

// skew returns a random wall clock error. Any two errors differ by at most MaxClockSkew.
func (w *simulation) skew() time.Duration {
	return time.Duration(w.rng.Int64N(int64(MaxClockSkew))) - MaxClockSkew/2
}

func (w *simulation) logf(format string, args ...any) {
	if w.traced {
		w.trace = append(w.trace, fmt.Sprintf("%9.1fms ", float64(w.now)/float64(ms))+fmt.Sprintf(format, args...))
	}
}

func (w *simulation) addViolation(format string, args ...any) {
	text := fmt.Sprintf("%.1fms: ", float64(w.now)/float64(ms)) + fmt.Sprintf(format, args...)
	w.logf("VIOLATION %s", text)
	if len(w.violations) == 0 && w.traced {
		w.dump()
	}
	if len(w.violations) < 5 {
		w.violations = append(w.violations, text)
	}
}

func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, run: run})
}

// run advances the simulation by d.
func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.checkAuthority()
	}
	w.now = end
}

// checkAuthority checks that a cell never has two acting holders at a time. A paused process counts by its own clock.
func (w *simulation) checkAuthority() {
	acting := make(map[string]string, 2)
	for _, host := range w.hosts {
		g := w.gateways[host]
		if g.down || !g.node.Acting(g.local()) {
			continue
		}
		if other, ok := acting[g.node.cell]; ok {
			w.addViolation("%s and %s both act as holder", other, host)
		}
		acting[g.node.cell] = host
	}
}

// checkTokenOrder checks that the fencing tokens of a unit never decrease.
func (w *simulation) checkTokenOrder(u ownedUnit, token fence.Token, server string) {
	if token.Less(w.maxToken[u]) {
		w.addViolation("%v executes on %s under token %s after %s", u, server, token, w.maxToken[u])
	}
	w.maxToken[u] = token
}

// checkTable checks that a generation has only one history of the table, and that no acknowledged assignment is lost
// when a successor takes over.
func (w *simulation) checkTable(g *gateway) {
	t := g.node.table
	if t.generation == 0 {
		return
	}
	id := tableVersion{cell: g.node.cell, generation: t.generation, version: t.version}
	whole := tableVersion{cell: g.node.cell, generation: t.generation}
	if id != g.checkedVersion {
		g.checkedVersion = id
		hash := tableHash(t)
		if known, ok := w.tableHashes[id]; ok && known != hash {
			w.addViolation("%s has a different table at version %d.%d", g.host, t.generation, t.version)
		}
		w.tableHashes[id] = hash
	}
	if g.node.acknowledged > t.version {
		w.addViolation("%s has acknowledged version %d beyond its table %d", g.host, g.node.acknowledged, t.version)
	}
	w.maxAcknowledged[whole] = max(w.maxAcknowledged[whole], g.node.acknowledged)
	if h := g.node.holder; h != nil && g.node.Acting(g.local()) {
		// The check uses the working table, because the successor may have a change before the holder receives the
		// acknowledgement and publishes it.
		if t := h.tableLog.table; t.version < w.maxAcknowledged[whole] {
			w.addViolation("holder %s lost acknowledged version %d, it has %d", g.host, w.maxAcknowledged[whole], t.version)
		}
	}
}

func tableHash(t *table) uint64 {
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(t.wholeDelta())
	hash := uint64(14695981039346656037)
	for _, b := range data {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	return hash
}

// deliver delivers a message, with simulated loss, delay, duplication and reordering.
func (w *simulation) deliver(from, to string, m *wire.Control) {
	if w.blocked[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		delay := time.Duration(w.rng.Int64N(int64(3 * ms)))
		if w.rng.Float64() < w.slowDelivery {
			delay = time.Duration(w.rng.Int64N(int64(1500 * ms)))
		}
		w.after(delay, func() {
			g, ok := w.gateways[to]
			if !ok || w.blocked[[2]string{from, to}] {
				return
			}
			if w.traced {
				w.logf("%s -> %s (%d.%d) %s", from, to, m.Generation, m.Term, describe(m))
			}
			g.runStep(func() Output { return g.node.Receive(g.local(), from, m) })
		})
	}
}

// trackedKeys are the keys that may become hot.
var trackedKeys = []string{"alpha", "beta"}

// keyPartition returns the partition of a key of service keyed.
func keyPartition(key string) keyspace.Partition { return keyspace.PartitionOf(key, 8) }

// units returns the units whose execution is checked.
func (w *simulation) units() []unit {
	var list []unit
	for i := range w.config.Services {
		s := &w.config.Services[i]
		for p := range s.Partitions {
			list = append(list, unit{service: s.Name, partition: keyspace.Partition(p)})
		}
	}
	for _, key := range trackedKeys {
		list = append(list, unit{service: "keyed", key: key})
	}
	return list
}

// unservedUnits returns the units that no server executed within the last d.
func (w *simulation) unservedUnits(d time.Duration) []unit {
	return slices.DeleteFunc(w.units(), func(u unit) bool {
		at, ok := w.dispatched[u]
		return ok && w.now-at <= d
	})
}

// waitServed runs until every unit is served, for at most limit, and returns the time that it took.
func (w *simulation) waitServed(limit time.Duration) (time.Duration, bool) {
	start := w.now
	for w.now-start < limit {
		w.run(10 * ms)
		if len(w.unservedUnits(40*ms)) == 0 {
			return w.now - start, true
		}
	}
	return w.now - start, false
}

func (w *simulation) holder() *gateway {
	for _, host := range w.hosts {
		if g := w.gateways[host]; !g.down && g.node.cell == "c1" && g.node.Acting(g.local()) {
			return g
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
