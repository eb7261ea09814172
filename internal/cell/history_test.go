package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

var (
	historyCount   = flag.Int("cell.histories", 40, "number of random histories")
	historySeed    = flag.Uint64("cell.seed", 1, "seed of the first random history")
	historyWorkers = flag.Int("cell.workers", 2, "number of histories that run at the same time")
	historyTrace   = flag.Bool("cell.trace", false, "print the trace of the first failed history")
)

// history runs one cell through random faults, then heals everything and waits until all is served again.
func history(seed uint64, f faults, traced bool) *world {
	shape := rand.New(rand.NewPCG(seed, 0x5b))
	w := newWorld(seed, testConfig(2+shape.IntN(4), shape.IntN(3)), f)
	w.traced = traced
	w.run(time.Duration(w.rng.Int64N(int64(3 * time.Second))))
	w.loss = []float64{0, 0.02, 0.2}[w.rng.IntN(3)]
	w.duplicate = []float64{0, 0.05, 0.3}[w.rng.IntN(3)]
	w.slow = []float64{0, 0.01, 0.1}[w.rng.IntN(3)]
	w.store.lost = []float64{0, 0.2}[w.rng.IntN(2)]
	for range 4 + w.rng.IntN(12) {
		w.fault()
		w.run(time.Duration(w.rng.Int64N(int64(700 * ms))))
	}
	w.heal()
	if _, ok := w.waitServed(12 * time.Second); !ok && f == (faults{}) {
		w.violate("not served after healing: %v", w.idle(40*ms))
	}
	return w
}

// fault makes one random change.
func (w *world) fault() {
	g := w.gateways[w.hosts[w.rng.IntN(len(w.hosts))]]
	if h := w.holder(); h != nil && w.rng.IntN(3) == 0 {
		g = h
	}
	brief := time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	switch w.rng.IntN(14) {
	case 0, 1:
		g.crash()
		w.after(brief/2, func() { w.restart(g) })
	case 2, 3:
		g.pause()
		w.after(brief, g.wake)
	case 4:
		w.isolate(g.host, brief)
	case 5:
		to := append([]string{StoreArbiter}, w.hosts...)[w.rng.IntN(len(w.hosts)+1)]
		w.block(g.host, to, brief)
	case 6:
		w.store.up = false
		w.after(brief, func() { w.store.up = true })
	case 7:
		for _, name := range w.serverNames {
			if s := w.servers[name]; w.rng.IntN(4) == 0 {
				s.frozen = true
				w.after(brief, func() { s.frozen = false })
			}
		}
	case 8:
		key := trackedKeys[w.rng.IntN(len(trackedKeys))]
		g.reportHot(key, float64(w.rng.IntN(2)))
	case 9:
		w.revise()
	case 10:
		g.leave(brief)
	case 12, 13:
		w.dispute(brief)
	case 11:
		for _, host := range w.hosts {
			if w.rng.IntN(2) == 0 {
				other := w.gateways[host]
				other.crash()
				w.after(brief/8, func() { w.restart(other) })
			}
		}
	}
}

// dispute loses the arbiter, and cuts holder and successor apart about when they change it.
func (w *world) dispute(d time.Duration) {
	holder := w.holder()
	if holder == nil {
		return
	}
	pair := holder.node.Pair()
	if arbiter, ok := w.gateways[pair.Arbiter.Host]; ok {
		arbiter.pause()
		w.after(d, arbiter.wake)
	}
	w.after(300*ms+time.Duration(w.rng.Int64N(int64(300*ms))), func() {
		for _, link := range [][2]string{{holder.host, pair.Successor.Host}, {pair.Successor.Host, holder.host}} {
			if w.rng.IntN(3) > 0 {
				w.block(link[0], link[1], d)
			}
		}
	})
}

// restart replaces a process that is down.
func (w *world) restart(g *gateway) {
	if g.down && w.gateways[g.host] == g {
		w.start(g.host)
	}
}

// block loses all messages in one direction.
func (w *world) block(from, to string, d time.Duration) {
	link := [2]string{from, to}
	w.logf("%s to %s blocked for %v", from, to, d)
	w.blocked[link] = true
	w.after(d, func() { delete(w.blocked, link) })
}

// isolate cuts a host off from all others and from the store.
func (w *world) isolate(host string, d time.Duration) {
	for _, other := range append([]string{StoreArbiter}, w.hosts...) {
		w.block(host, other, d)
		w.block(other, host, d)
	}
}

// leave stops a gateway as planned and starts it again later.
func (g *gateway) leave(d time.Duration) {
	w := g.world
	w.logf("%s leaves", g.host)
	g.do(func() Output { return g.node.Leave(g.local()) })
	w.after(time.Second+d, func() {
		g.crash()
		w.restart(g)
	})
}

// revise accepts a configuration with one server fewer or the full set, and tells the gateways at different times.
func (w *world) revise() {
	c := *w.config
	c.Revision++
	c.Services = append(c.Services[:0:0], c.Services...)
	full := testConfig(1, len(c.CellHosts("c2")))
	for i := range c.Services {
		c.Services[i].Servers = full.Services[i].Servers
		if w.rng.IntN(2) == 0 {
			out := w.rng.IntN(len(c.Services[i].Servers))
			c.Services[i].Servers = slices.Delete(c.Services[i].Servers, out, out+1)
		}
	}
	c.Stops = nil
	if w.rng.IntN(2) == 0 {
		target := append(sortedKeys(w.servers), w.hosts...)[w.rng.IntN(len(w.servers)+len(w.hosts))]
		c.Stops = append(c.Stops, config.Stop{Target: target, At: time.Unix(0, 0).Add(w.now), ForSeconds: 2})
	}
	w.logf("revision %d, stops %v", c.Revision, c.Stops)
	w.config = &c
	for _, host := range w.hosts {
		w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { w.gateways[host].configure(&c) })
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.logf("heal")
	w.run(2500 * ms)
	w.loss, w.duplicate, w.slow, w.store.lost, w.store.up = 0, 0, 0, 0, true
	clear(w.blocked)
	for _, s := range w.servers {
		s.frozen = false
	}
	for _, host := range w.hosts {
		w.gateways[host].wake()
		w.restart(w.gateways[host])
		w.gateways[host].configure(w.config)
	}
}

// TestHistories guards against double ownership, two holders, tokens that go back and lost assignments under random
// faults, and against a cell that does not recover.
func TestHistories(t *testing.T) {
	count := uint64(*historyCount)
	var next atomic.Uint64
	var mu sync.Mutex
	failed := 0
	var group sync.WaitGroup
	for range *historyWorkers {
		group.Go(func() {
			for i := next.Add(1) - 1; i < count; i = next.Add(1) - 1 {
				w := history(*historySeed+i, faults{}, false)
				if len(w.violations) == 0 {
					continue
				}
				mu.Lock()
				failed++
				if failed <= 10 {
					t.Errorf("seed %d: %s", *historySeed+i, strings.Join(w.violations, "\n"))
				}
				if failed == 1 && *historyTrace {
					fmt.Println(strings.Join(history(*historySeed+i, faults{}, true).trace, "\n"))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d histories from seed %d: %d failed", count, *historySeed, failed)
}

// TestHistorySeeds guards against a partition that moved to another cell and stays unserved, because the cell whose last
// override of it ended did not plan again. Longer runs found both seeds, 324697 at an earlier commit.
func TestHistorySeeds(t *testing.T) {
	for _, seed := range []uint64{307427, 324697} {
		if w := history(seed, faults{}, false); len(w.violations) > 0 {
			t.Errorf("seed %d: %s", seed, w.violations[0])
		}
	}
}
