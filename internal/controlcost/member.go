package controlcost

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/control"
	"github.com/sapphireplank/sapphireplank/internal/home"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

const (
	// loadRows is the number of partitions with load that each home reports.
	loadRows = 64
	// hotRows is the number of hot keys that each home reports.
	hotRows = 4
)

// member is one simulated gateway.
type member struct {
	fleet   *fleet
	host    string
	node    *cell.Node
	started time.Duration
	// life distinguishes the processes of the host, so that events of an ended one are ignored.
	life     int
	running  bool
	lastLoad time.Duration
}

func newMember(f *fleet, host string) *member { return &member{fleet: f, host: host} }

// start begins a process with a new incarnation.
func (m *member) start() {
	f := m.fleet
	assigner := control.NewAssigner()
	assigner.Configure(f.config)
	m.life++
	m.running = true
	m.started = f.now
	m.node = cell.NewNode(cell.NodeConfig{
		Host: m.host, Incarnation: f.random.Uint64() | 1, WallStart: time.Unix(0, 0).Add(f.now),
		Random: rand.New(rand.NewPCG(f.random.Uint64(), 1)), Assign: assigner.Next,
	})
	m.step(func(now time.Duration) cell.Output { return m.node.Configure(now, f.config) })
	life := m.life
	f.after(m.phase(cell.TickInterval), func() { m.tick(life) })
	f.after(m.phase(home.RenewInterval), func() { m.report(life) })
}

// phase returns a random part of an interval.
func (m *member) phase(interval time.Duration) time.Duration {
	return time.Duration(m.fleet.random.Int64N(int64(interval)))
}

// end ends the process.
func (m *member) end() {
	m.step(m.node.Stop)
	m.running = false
}

func (m *member) tick(life int) {
	if !m.running || m.life != life {
		return
	}
	m.step(func(now time.Duration) cell.Output { return m.node.Tick(now) })
	m.fleet.costs[partOf(m.node.Role())].time += cell.TickInterval
	m.fleet.after(cell.TickInterval, func() { m.tick(life) })
}

// step runs one step of the state machine, counts its cost and carries out its output.
func (m *member) step(run func(now time.Duration) cell.Output) {
	if !m.running {
		return
	}
	before := m.node.Counters()
	began := threadTime()
	out := run(m.fleet.now - m.started)
	took := threadTime() - began
	c := &m.fleet.costs[partOf(m.node.Role())]
	c.cpu += took
	c.add(before, m.node.Counters())
	m.carryOut(out)
}

func (m *member) carryOut(out cell.Output) {
	for _, envelope := range out.Send {
		m.fleet.deliver(m.host, envelope.To, envelope.Message)
	}
	for _, request := range out.Store {
		m.callStore(request)
	}
	if out.Changed {
		m.release()
	}
}

func (m *member) callStore(r cell.StoreRequest) {
	life := m.life
	entry, err := m.askStore(r)
	m.fleet.after(storeLatency, func() {
		if m.life == life {
			m.step(func(now time.Duration) cell.Output {
				return m.node.StoreResult(now, cell.StoreResult{ID: r.ID, Entry: entry, Err: err})
			})
		}
	})
}

func (m *member) askStore(r cell.StoreRequest) (store.Entry, error) {
	if r.Write {
		return m.fleet.store.CompareAndSwap(background, r.Key, r.Version, r.Value)
	}
	return m.fleet.store.Get(background, r.Key)
}

// report sends what the homes of the gateway observe.
func (m *member) report(life int) {
	if !m.running || m.life != life {
		return
	}
	m.fleet.after(home.RenewInterval, func() { m.report(life) })
	now := m.fleet.now
	withLoad := now-m.lastLoad >= home.LoadInterval
	if withLoad {
		m.lastLoad = now
	}
	for name, view := range m.node.Snapshot().Servers {
		if view.Local {
			m.reportServer(name, view, withLoad)
		}
	}
}

func (m *member) reportServer(name string, view cell.ServerView, withLoad bool) {
	var r cell.Report
	if m.fleet.allReports {
		r.Servers = []cell.ServerReport{{Server: name, Up: true}}
	}
	if withLoad {
		m.addLoad(&r, name, view.Service)
	}
	if len(r.Servers)+len(r.ServerLoad) > 0 {
		m.step(func(now time.Duration) cell.Output { return m.node.Report(now, r) })
	}
}

// addLoad adds the load of partitions of the server, and of a few keys.
func (m *member) addLoad(r *cell.Report, name, service string) {
	r.ServerLoad = []cell.ServerLoad{{Server: name, Load: 1.5}}
	view := m.node.Snapshot().Services[service]
	if view == nil {
		return
	}
	for p, owner := range view.Owners {
		if owner.Server == name && len(r.Load) < loadRows {
			r.Load = append(r.Load, cell.PartitionLoad{Service: service, Partition: keyspace.Partition(p), Load: float64(p%7) / 100})
		}
	}
	for k := range hotRows {
		r.HotKeys = append(r.HotKeys, cell.KeyLoad{Service: service, Key: fmt.Sprintf("shipment-%s-%d", name, k), Load: 0.01})
	}
}
