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

// Loop is the event loop of the control plane of one gateway.
type Loop struct {
	options   Options
	inbox     chan *wire.Envelope
	functions chan func()
	store     *storeCaller
	done      chan struct{}
	closeDone sync.Once

	// Only the goroutine of Run accesses the fields below.
	cell          *cell.Node
	configSync    *confsync.Node
	assigner      *Assigner
	heldConfig    *config.Config
	configInForce *config.Config
	configCache   configCache
	cells         []confsync.Cell
	roles         cellRoles
}

// cellRoles names the host that decides ownership in the cell (holder) and its standby (successor). The topology of
// confsync depends on them.
type cellRoles struct {
	holder, successor string
}

// New returns a loop. Call Run to start it.
func New(o Options) *Loop {
	random := rand.New(rand.NewPCG(o.Seed, o.Incarnation))
	l := &Loop{
		options:   o,
		inbox:     make(chan *wire.Envelope, queueLength),
		functions: make(chan func(), queueLength),
		done:      make(chan struct{}),
		assigner:  NewAssigner(),
	}
	l.cell = cell.NewNode(cell.NodeConfig{
		Host:           o.Host,
		Incarnation:    o.Incarnation,
		WallStart:      o.Start.Round(0),
		Random:         random,
		Assign:         l.assigner.Next,
		ConfigKey:      config.StoreKey(o.Team),
		ConfigRevision: revisionOf,
	})
	l.configSync = confsync.New(confsync.Options{Self: o.Host, Random: random.IntN, Rebase: rebase})
	l.store = newStoreCaller(o.Store, l.post)
	return l
}

// Run executes the event loop until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	defer l.closeDone.Do(func() { close(l.done) })
	defer l.store.close()
	l.applyConfigOutput(l.configSync.Start(l.now(), l.seedHosts()))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		case envelope := <-l.inbox:
			l.handleEnvelope(envelope)
		case function := <-l.functions:
			function()
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (l *Loop) Done() <-chan struct{} { return l.done }

func (l *Loop) now() time.Duration { return time.Since(l.options.Start) }

func (l *Loop) tick() {
	l.applyConfigOutput(l.configSync.Tick(l.now()))
	l.applyCellOutput(l.cell.Tick(l.now()))
}

func (l *Loop) seedHosts() []string {
	hosts := make([]string, 0, len(l.options.Seeds))
	for host := range l.options.Seeds {
		hosts = append(hosts, host)
	}
	return hosts
}

// post queues f to run in the loop's goroutine and blocks while the queue is full. It does nothing once the loop has
// ended.
func (l *Loop) post(f func()) {
	select {
	case l.functions <- f:
	case <-l.done:
	}
}

// Report passes a report of a dispatcher to the cell's state machine. It never blocks: a report is dropped while the
// queue is full, because dispatchers repeat the relevant content in their next report.
func (l *Loop) Report(r cell.Report) {
	select {
	case l.functions <- func() { l.applyCellOutput(l.cell.Report(l.now(), r)) }:
	default:
	}
}

// Deliver passes a report whose content is not repeated to the cell's state machine. It blocks while the queue is full
// and must not be called from the loop's goroutine.
func (l *Loop) Deliver(r cell.Report) {
	l.post(func() { l.applyCellOutput(l.cell.Report(l.now(), r)) })
}

// Leave starts the planned stop of this gateway.
func (l *Loop) Leave() {
	l.post(func() { l.applyCellOutput(l.cell.Leave(l.now())) })
}

// NotifyAccepted notifies the loop that the store has confirmed a document.
func (l *Loop) NotifyAccepted(document confsync.Document) {
	l.post(func() { l.applyConfigOutput(l.configSync.Accepted(l.now(), document)) })
}

// Status is a copy of the state of the control plane, for operators.
type Status struct {
	Snapshot *cell.Snapshot
	Role     cell.Role
	// Left is true once a planned stop has handed over the backend servers and the role in the cell.
	Left     bool
	Counters cell.Counters
	// Held is the greatest revision that the gateway knows; InForce is the revision that the request path uses.
	Held, InForce uint64
}

// Status returns the state of the loop, or false if the loop has ended.
func (l *Loop) Status() (Status, bool) {
	reply := make(chan Status, 1)
	l.post(func() {
		reply <- Status{
			Snapshot: l.cell.Snapshot(),
			Role:     l.cell.Role(),
			Left:     l.cell.HasLeft(),
			Counters: l.cell.Counters(),
			Held:     l.configSync.Held().Revision,
			InForce:  l.configSync.InForce().Revision,
		}
	})
	select {
	case s := <-reply:
		return s, true
	case <-l.done:
		return Status{}, false
	}
}
