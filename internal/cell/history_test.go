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

// runHistory runs one cell through random faults, then ends all faults and waits until everything is served again.
func runHistory(seed uint64, f faults, traced bool) *simulation {
	shape := rand.New(rand.NewPCG(seed, 0x5b))
	w := newSimulation(seed, testConfig(2+shape.IntN(4), shape.IntN(3)), f)
	w.traced = traced
	w.run(time.Duration(w.rng.Int64N(int64(3 * time.Second))))
	w.loss = []float64{0, 0.02, 0.2}[w.rng.IntN(3)]
	w.duplicate = []float64{0, 0.05, 0.3}[w.rng.IntN(3)]
	w.slowDelivery = []float64{0, 0.01, 0.1}[w.rng.IntN(3)]
	w.store.lossProbability = []float64{0, 0.2}[w.rng.IntN(2)]
	for range 4 + w.rng.IntN(12) {
		w.injectFault()
		w.run(time.Duration(w.rng.Int64N(int64(700 * ms))))
	}
	w.endFaults()
	if _, ok := w.waitServed(12 * time.Second); !ok && f == (faults{}) {
		w.addViolation("not served after the faults ended: %v", w.unservedUnits(40*ms))
	}
	return w
}

// injectFault injects one random fault or change.
func (w *simulation) injectFault() {
	g := w.gateways[w.hosts[w.rng.IntN(len(w.hosts))]]
	if h := w.holder(); h != nil && w.rng.IntN(3) == 0 {
		g = h
	}
	duration := time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	switch w.rng.IntN(14) {
	case 0, 1:
		g.crash()
		w.after(duration/2, func() { w.restart(g) })
	case 2, 3:
		g.pause()
		w.after(duration, g.resume)
	case 4:
		w.isolate(g.host, duration)
	case 5:
		to := append([]string{StoreArbiter}, w.hosts...)[w.rng.IntN(len(w.hosts)+1)]
		w.block(g.host, to, duration)
	case 6:
		w.store.up = false
		w.after(duration, func() { w.store.up = true })
	case 7:
		for _, name := range w.serverNames {
			if s := w.servers[name]; w.rng.IntN(4) == 0 {
				s.frozen = true
				w.after(duration, func() { s.frozen = false })
			}
		}
	case 8:
		key := trackedKeys[w.rng.IntN(len(trackedKeys))]
		g.reportHot(key, float64(w.rng.IntN(2)))
	case 9:
		w.changeConfig()
	case 10:
		g.leave(duration)
	case 12, 13:
		w.loseArbiterAndCutPair(duration)
	case 11:
		for _, host := range w.hosts {
			if w.rng.IntN(2) == 0 {
				other := w.gateways[host]
				other.crash()
				w.after(duration/8, func() { w.restart(other) })
			}
		}
	}
}

// loseArbiterAndCutPair pauses the arbiter, and blocks messages between holder and successor at about the time at which
// they replace it.
func (w *simulation) loseArbiterAndCutPair(d time.Duration) {
	holder := w.holder()
	if holder == nil {
		return
	}
	pair := holder.node.Pair()
	if arbiter, ok := w.gateways[pair.Arbiter.Host]; ok {
		arbiter.pause()
		w.after(d, arbiter.resume)
	}
	w.after(300*ms+time.Duration(w.rng.Int64N(int64(300*ms))), func() {
		for _, link := range [][2]string{{holder.host, pair.Successor.Host}, {pair.Successor.Host, holder.host}} {
			if w.rng.IntN(3) > 0 {
				w.block(link[0], link[1], d)
			}
		}
	})
}

// restart starts a new process in place of one that is down.
func (w *simulation) restart(g *gateway) {
	if g.down && w.gateways[g.host] == g {
		w.start(g.host)
	}
}

// block drops all messages from one host to another for d.
func (w *simulation) block(from, to string, d time.Duration) {
	link := [2]string{from, to}
	w.logf("%s to %s blocked for %v", from, to, d)
	w.blocked[link] = true
	w.after(d, func() { delete(w.blocked, link) })
}

// isolate drops all messages between a host and all others and the store.
func (w *simulation) isolate(host string, d time.Duration) {
	for _, other := range append([]string{StoreArbiter}, w.hosts...) {
		w.block(host, other, d)
		w.block(other, host, d)
	}
}

// leave starts a planned stop of a gateway, and later restarts it.
func (g *gateway) leave(d time.Duration) {
	w := g.simulation
	w.logf("%s leaves", g.host)
	g.runStep(func() Output { return g.node.Leave(g.local()) })
	w.after(time.Second+d, func() {
		g.crash()
		w.restart(g)
	})
}

// changeConfig applies a configuration with some servers removed or with all servers. Each gateway gets it at another
// time.
func (w *simulation) changeConfig() {
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

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.logf("all faults end")
	w.run(2500 * ms)
	w.loss, w.duplicate, w.slowDelivery, w.store.lossProbability, w.store.up = 0, 0, 0, 0, true
	clear(w.blocked)
	for _, s := range w.servers {
		s.frozen = false
	}
	for _, host := range w.hosts {
		w.gateways[host].resume()
		w.restart(w.gateways[host])
		w.gateways[host].configure(w.config)
	}
}

// TestHistories guards against double ownership, two acting holders, decreasing tokens and lost assignments under
// random faults, and against a cell that does not recover.
func TestHistories(t *testing.T) {
	count := uint64(*historyCount)
	var next atomic.Uint64
	var mu sync.Mutex
	failed := 0
	var group sync.WaitGroup
	for range *historyWorkers {
		group.Go(func() {
			for i := next.Add(1) - 1; i < count; i = next.Add(1) - 1 {
				w := runHistory(*historySeed+i, faults{}, false)
				if len(w.violations) == 0 {
					continue
				}
				mu.Lock()
				failed++
				if failed <= 10 {
					t.Errorf("seed %d: %s", *historySeed+i, strings.Join(w.violations, "\n"))
				}
				if failed == 1 && *historyTrace {
					fmt.Println(strings.Join(runHistory(*historySeed+i, faults{}, true).trace, "\n"))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d histories from seed %d: %d failed", count, *historySeed, failed)
}

// TestHistorySeeds guards against a partition that moved to another cell and stays unserved, because the cell that held
// it did not plan again when its last override of the partition ended. Longer runs found both seeds, 324697 at an
// earlier commit.
func TestHistorySeeds(t *testing.T) {
	for _, seed := range []uint64{307427, 324697} {
		if w := runHistory(seed, faults{}, false); len(w.violations) > 0 {
			t.Errorf("seed %d: %s", seed, w.violations[0])
		}
	}
}
