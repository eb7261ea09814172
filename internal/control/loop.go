package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Loop is the control state of one gateway.
type Loop struct {
	options Options
	inbox   chan *wire.Envelope
	calls   chan func()
	store   *storeCaller
	done    chan struct{}
	stop    sync.Once

	// The fields below belong to the goroutine of Run.
	cell    *cell.Node
	confs   *confsync.Node
	assign  *Assigner
	held    *config.Config
	inForce *config.Config
	decoded decodedConfig
	cells   []confsync.Cell
	role    topologyRole
}

// topologyRole is the part of the cell's state that the topology of confsync depends on.
type topologyRole struct {
	holder, successor string
}

// New returns a loop that Run starts.
func New(o Options) *Loop {
	random := rand.New(rand.NewPCG(o.Seed, o.Incarnation))
	l := &Loop{
		options: o,
		inbox:   make(chan *wire.Envelope, inboxLength),
		calls:   make(chan func(), inboxLength),
		done:    make(chan struct{}),
		assign:  NewAssigner(),
	}
	l.cell = cell.NewNode(cell.NodeConfig{
		Host:           o.Host,
		Incarnation:    o.Incarnation,
		WallStart:      o.Start.Round(0),
		Random:         random,
		Assign:         l.assign.Next,
		ConfigKey:      config.StoreKey(o.Team),
		ConfigRevision: revisionOf,
	})
	l.confs = confsync.New(confsync.Options{Self: o.Host, Random: random.IntN, Rebase: rebase})
	l.store = newStoreCaller(o.Store, l.call)
	return l
}

// Run owns the control state until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.stop.Do(func() { close(l.done) })
	defer l.store.close()
	l.applyConfig(l.confs.Start(l.now(), l.seedHosts()))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		case envelope := <-l.inbox:
			l.receive(envelope)
		case call := <-l.calls:
			call()
		}
	}
}

// Done is closed after Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

func (l *Loop) now() time.Duration { return time.Since(l.options.Start) }

func (l *Loop) tick() {
	l.applyConfig(l.confs.Tick(l.now()))
	l.applyCell(l.cell.Tick(l.now()))
}

func (l *Loop) seedHosts() []string {
	hosts := make([]string, 0, len(l.options.Seeds))
	for host := range l.options.Seeds {
		hosts = append(hosts, host)
	}
	return hosts
}

// call runs f in the loop's goroutine. It does nothing once the loop has ended.
func (l *Loop) call(f func()) {
	select {
	case l.calls <- f:
	case <-l.done:
	}
}

// Report passes on what a home observed. It never blocks: homes repeat what matters with their next report.
func (l *Loop) Report(r cell.Report) {
	select {
	case l.calls <- func() { l.applyCell(l.cell.Report(l.now(), r)) }:
	default:
	}
}

// Deliver passes on an observation that the home does not repeat. It must not be called from the loop's goroutine.
func (l *Loop) Deliver(r cell.Report) {
	l.call(func() { l.applyCell(l.cell.Report(l.now(), r)) })
}

// Leave starts the planned stop of this gateway.
func (l *Loop) Leave() {
	l.call(func() { l.applyCell(l.cell.Leave(l.now())) })
}

// Accepted tells that the store has confirmed a document.
func (l *Loop) Accepted(document confsync.Document) {
	l.call(func() { l.applyConfig(l.confs.Accepted(l.now(), document)) })
}

// Status is a copy of the control state for operators.
type Status struct {
	Snapshot *cell.Snapshot
	Role     cell.Role
	Left     bool
	Counters cell.Counters
	// Held is the newest revision that the gateway knows; InForce the one that traffic uses.
	Held, InForce uint64
}

// Status asks the loop for its state. It returns false if the loop has ended.
func (l *Loop) Status() (Status, bool) {
	answer := make(chan Status, 1)
	l.call(func() {
		answer <- Status{
			Snapshot: l.cell.Snapshot(),
			Role:     l.cell.Role(),
			Left:     l.cell.HasLeft(),
			Counters: l.cell.Counters(),
			Held:     l.confs.Held().Revision,
			InForce:  l.confs.InForce().Revision,
		}
	})
	select {
	case s := <-answer:
		return s, true
	case <-l.done:
		return Status{}, false
	}
}
