package cell

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// gateway is one process with its clocks and its simulated homes.
type gateway struct {
	simulation     *simulation
	host           string
	node           *Node
	started        time.Duration
	rate           float64
	skew           time.Duration
	down           bool
	paused         bool
	inbox          []func() Output
	checkedVersion tableVersion

	health          map[string]bool
	probed          map[string]time.Duration
	releasedUnits   map[unit]fence.Token
	releasedServers map[string]fence.Token
}

// start starts a process on host with a new incarnation and new clock errors.
func (w *simulation) start(host string) *gateway {
	g := &gateway{
		simulation: w, host: host, started: w.now, skew: w.skew(),
		rate:   1 + (w.rng.Float64()-0.5)*0.0098,
		health: make(map[string]bool), probed: make(map[string]time.Duration),
		releasedUnits: make(map[unit]fence.Token), releasedServers: make(map[string]fence.Token),
	}
	g.node = NewNode(NodeConfig{
		Host: host, Incarnation: w.rng.Uint64() | 1, WallStart: time.Unix(0, 0).Add(w.now), Assign: assignWithKeys,
		Random: rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
	})
	g.node.faults = w.faults
	w.gateways[host] = g
	g.configure(w.config)
	w.after(time.Duration(w.rng.Int64N(int64(TickInterval))), g.tick)
	return g
}

func (g *gateway) configure(c *config.Config) {
	g.runStep(func() Output { return g.node.Configure(g.local(), c) })
}

// local returns the time of the process's monotonic clock.
func (g *gateway) local() time.Duration {
	return time.Duration(float64(g.simulation.now-g.started) * g.rate)
}

// crash ends the process. The permissions of its servers remain in force until they expire.
func (g *gateway) crash() {
	g.down = true
	g.simulation.logf("%s crashes", g.host)
}

func (g *gateway) pause() {
	g.paused = true
	g.simulation.logf("%s pauses", g.host)
}

// resume handles all messages that were queued during the pause, in random order and with a clock that advanced during
// it.
func (g *gateway) resume() {
	if !g.paused || g.down {
		return
	}
	g.paused = false
	g.simulation.logf("%s resumes", g.host)
	inbox := g.inbox
	g.inbox = nil
	g.simulation.rng.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, step := range inbox {
		g.runStep(step)
	}
}

func (g *gateway) tick() {
	if g.down {
		return
	}
	if !g.paused {
		g.runStep(func() Output { return g.node.Tick(g.local()) })
		g.runHomes()
	}
	g.simulation.after(TickInterval-time.Duration(g.simulation.rng.Int64N(int64(10*ms))), g.tick)
}

// runStep runs one step of the node, or queues it while the process is paused.
func (g *gateway) runStep(step func() Output) {
	if g.down {
		return
	}
	if g.paused {
		if len(g.inbox) < 200 {
			g.inbox = append(g.inbox, step)
		}
		return
	}
	out := step()
	w := g.simulation
	for _, e := range out.Events {
		w.logf("%s %s %s %s", g.host, e.Kind, e.Server, e.Detail)
	}
	for _, e := range out.Messages {
		m := e.Message
		if w.rng.Float64() < 0.02 {
			data, err := proto.Marshal(m)
			m = &wire.Control{}
			if err != nil || proto.Unmarshal(data, m) != nil {
				w.addViolation("message cannot be encoded and decoded: %v", err)
			}
		}
		w.deliver(g.host, e.To, m)
	}
	for _, r := range out.Store {
		w.store.call(g, r)
	}
	if out.Changed {
		w.checkTable(g)
		g.runHomes()
	}
}

// fakeStore is a store with outages and lost responses.
type fakeStore struct {
	simulation *simulation
	values     map[string]fakeEntry
	up         bool
	// lossProbability is the probability that a response is lost.
	lossProbability float64
	// delayNextRecordWrite, if set, is the delay of the response to the next write of the cell's record.
	delayNextRecordWrite time.Duration
}

type fakeEntry struct {
	value   []byte
	version uint64
}

func (s *fakeStore) call(g *gateway, r StoreRequest) {
	w := s.simulation
	delay := func() time.Duration {
		if w.rng.Float64() < w.slowDelivery {
			return time.Duration(w.rng.Int64N(int64(2500 * ms)))
		}
		return time.Duration(w.rng.Int64N(int64(5 * ms)))
	}
	w.after(delay(), func() {
		result := StoreResult{ID: r.ID, Err: store.ErrUnavailable}
		if s.up && !w.blocked[[2]string{g.host, StoreArbiter}] {
			result = s.answer(r)
		}
		switch lost := w.rng.Float64(); {
		case lost < s.lossProbability/2:
			return
		case lost < s.lossProbability:
			result = StoreResult{ID: r.ID, Err: store.ErrUnavailable}
		}
		wait := delay()
		if s.delayNextRecordWrite > 0 && r.Write && r.Key == "cells/c1" {
			wait, s.delayNextRecordWrite = s.delayNextRecordWrite, 0
		}
		w.after(wait, func() { g.runStep(func() Output { return g.node.HandleStoreResult(g.local(), result) }) })
	})
}

func (s *fakeStore) answer(r StoreRequest) StoreResult {
	e, ok := s.values[r.Key]
	result := StoreResult{ID: r.ID}
	switch {
	case r.Write && e.version != r.Version:
		result.Err = store.ErrConflict
		return result
	case r.Write:
		e = fakeEntry{value: r.Value, version: e.version + 1}
		s.values[r.Key] = e
	case !ok:
		result.Err = store.ErrNotFound
	}
	result.Entry = store.Entry{Key: r.Key, Value: e.value, Version: e.version}
	return result
}
