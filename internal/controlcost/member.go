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
	// maxReportedPartitions is the maximum number of partitions whose load a home reports.
	maxReportedPartitions = 64
	// reportedHotKeys is the number of hot keys whose load a home reports.
	reportedHotKeys = 4
)

// member is one simulated gateway.
type member struct {
	fleet   *fleet
	host    string
	node    *cell.Node
	started time.Duration
	// processID numbers the processes of the host, so that events of an ended process are ignored.
	processID      int
	running        bool
	lastLoadReport time.Duration
}

func newMember(f *fleet, host string) *member { return &member{fleet: f, host: host} }

// start starts a process with a new incarnation.
func (m *member) start() {
	f := m.fleet
	assigner := control.NewAssigner()
	assigner.Configure(f.config)
	m.processID++
	m.running = true
	m.started = f.now
	m.node = cell.NewNode(cell.NodeConfig{
		Host: m.host, Incarnation: f.random.Uint64() | 1, WallStart: time.Unix(0, 0).Add(f.now),
		Random: rand.New(rand.NewPCG(f.random.Uint64(), 1)), Assign: assigner.Next,
	})
	m.step(func(now time.Duration) cell.Output { return m.node.Configure(now, f.config) })
	processID := m.processID
	f.after(m.randomOffset(cell.TickInterval), func() { m.tick(processID) })
	f.after(m.randomOffset(home.RenewInterval), func() { m.report(processID) })
}

// randomOffset returns a random part of an interval, for the first run of a periodic timer.
func (m *member) randomOffset(interval time.Duration) time.Duration {
	return time.Duration(m.fleet.random.Int64N(int64(interval)))
}

// terminate ends the process.
func (m *member) terminate() {
	m.step(m.node.Stop)
	m.running = false
}

func (m *member) tick(processID int) {
	if !m.running || m.processID != processID {
		return
	}
	m.step(func(now time.Duration) cell.Output { return m.node.Tick(now) })
	m.fleet.costs[roleOf(m.node.Role())].time += cell.TickInterval
	m.fleet.after(cell.TickInterval, func() { m.tick(processID) })
}

// step runs one transition of the state machine, accounts for its cost and executes its output.
func (m *member) step(transition func(now time.Duration) cell.Output) {
	if !m.running {
		return
	}
	before := m.node.Counters()
	startedAt := threadCPUTime()
	out := transition(m.fleet.now - m.started)
	elapsed := threadCPUTime() - startedAt
	c := &m.fleet.costs[roleOf(m.node.Role())]
	c.cpu += elapsed
	c.addTraffic(before, m.node.Counters())
	m.apply(out)
}

func (m *member) apply(out cell.Output) {
	for _, envelope := range out.Messages {
		m.fleet.deliver(m.host, envelope.To, envelope.Message)
	}
	for _, request := range out.Store {
		m.callStore(request)
	}
	if out.Changed {
		m.confirmReleases()
	}
}

func (m *member) callStore(r cell.StoreRequest) {
	processID := m.processID
	entry, err := m.executeStoreRequest(r)
	m.fleet.after(storeLatency, func() {
		if m.processID == processID {
			m.step(func(now time.Duration) cell.Output {
				return m.node.HandleStoreResult(now, cell.StoreResult{ID: r.ID, Entry: entry, Err: err})
			})
		}
	})
}

func (m *member) executeStoreRequest(r cell.StoreRequest) (store.Entry, error) {
	if r.Write {
		return m.fleet.store.CompareAndSwap(background, r.Key, r.Version, r.Value)
	}
	return m.fleet.store.Get(background, r.Key)
}

// report periodically passes the observations of the homes of this gateway to the state machine.
func (m *member) report(processID int) {
	if !m.running || m.processID != processID {
		return
	}
	m.fleet.after(home.RenewInterval, func() { m.report(processID) })
	now := m.fleet.now
	includeLoad := now-m.lastLoadReport >= home.LoadInterval
	if includeLoad {
		m.lastLoadReport = now
	}
	for name, view := range m.node.Snapshot().Servers {
		if view.Local {
			m.reportServer(name, view, includeLoad)
		}
	}
}

func (m *member) reportServer(name string, view cell.ServerView, includeLoad bool) {
	var r cell.Report
	if m.fleet.reportHealth {
		r.Servers = []cell.ServerReport{{Server: name, Up: true}}
	}
	if includeLoad {
		m.addLoad(&r, name, view.Service)
	}
	if len(r.Servers)+len(r.ServerLoad) > 0 {
		m.step(func(now time.Duration) cell.Output { return m.node.Report(now, r) })
	}
}

// addLoad adds the load of the server, of some of its partitions and of a few hot keys.
func (m *member) addLoad(r *cell.Report, name, service string) {
	r.ServerLoad = []cell.ServerLoad{{Server: name, Load: 1.5}}
	view := m.node.Snapshot().Services[service]
	if view == nil {
		return
	}
	for p, owner := range view.Owners {
		if owner.Server == name && len(r.Load) < maxReportedPartitions {
			r.Load = append(r.Load, cell.PartitionLoad{Service: service, Partition: keyspace.Partition(p), Load: float64(p%7) / 100})
		}
	}
	for k := range reportedHotKeys {
		r.HotKeys = append(r.HotKeys, cell.KeyLoad{Service: service, Key: fmt.Sprintf("shipment-%s-%d", name, k), Load: 0.01})
	}
}
