package home

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fairqueue"
)

// Dispatcher executes requests on one backend server. Callers run its short critical sections on their own
// goroutines; one goroutine makes the control calls and reports.
type Dispatcher struct {
	config  Config
	backend Backend
	grantor Grantor
	// start is the origin of the monotonic time of the queue.
	start time.Time
	// kick asks the control goroutine for a cycle before the next tick.
	kick    chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	mu    sync.Mutex // mu protects the fields below
	queue *fairqueue.Queue[*ticket]
	// busy counts the taken slots.
	busy int
	// holding counts the requests of held scopes.
	holding  int
	arrivals uint64
	// owned holds every owned scope, so that a cycle does not look at the partitions of other servers.
	owned []*scopeState
	// whole is the scope of all requests of a service that is not divided by key.
	whole      *scopeState
	partitions []*scopeState
	hotKeys    map[string]*scopeState
	elsewhere  map[string]bool
	// departed holds scopes that left the assignment and may have a grant on the server.
	departed []*scopeState
	// mark is the number of the last assignment.
	mark       uint64
	health     healthState
	identities *identityRecord
	sketch     *sketch
	// serviceTime is the moving average of the slot time of a request.
	serviceTime time.Duration
	// grantedUntil is the expiry of the last acknowledged renewal.
	grantedUntil time.Time
	set          backend.GrantSet
	setDirty     bool
	// judged is the judgement that was recorded last.
	judged Health
	// running holds the requests at the backend server.
	running map[*ticket]struct{}
	// pacing is true while a timer waits for the queue's ReadyAt.
	pacing  bool
	leaving bool
	closed  bool
}

// New returns a running dispatcher. It owns nothing until the first Apply.
func New(config Config, client Backend, grantor Grantor) *Dispatcher {
	config = config.withDefaults()
	now := time.Now()
	d := &Dispatcher{
		config:     config,
		backend:    client,
		grantor:    grantor,
		start:      now,
		kick:       make(chan struct{}, 1),
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
		hotKeys:    make(map[string]*scopeState),
		running:    make(map[*ticket]struct{}),
		health:     newHealthState(),
		judged:     HealthUp,
		identities: newIdentityRecord(config.MaxIdentities, now),
		sketch:     newSketch(hotKeyCounters),
	}
	d.queue = fairqueue.New[*ticket](fairqueue.Limits{
		MaxWaitingPerSubscriber: config.QueuePerSubscriber,
		MaxWaiting:              config.QueueTotal,
		Slots:                   config.Slots,
		Allowance:               queueAllowance,
		DebtSpacing:             debtSpacing,
	})
	if config.Keyed {
		d.partitions = make([]*scopeState, config.Partitions)
	} else {
		d.whole = newScopeState(backend.Scope{}, now)
		d.whole.granted = true
		d.owned = append(d.owned, d.whole)
	}
	go d.run()
	return d
}

// Open returns a running dispatcher that talks to the backend server through client.
func Open(config Config, client *backend.Client) *Dispatcher {
	return New(config, client, backend.NewGrantClient(client))
}

// Close ends the control goroutine and refuses all waiting requests as not run. Requests in progress go on.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.closed = true
	d.refuseAll(notHome())
	d.mu.Unlock()
	close(d.stop)
	<-d.stopped
}

// Wake makes the dispatcher look again at conditions that it does not observe, such as a renewed home lease.
func (d *Dispatcher) Wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump(time.Now())
}

// LoadPercent returns the requests that are queued or in progress, over the slots, in percent.
func (d *Dispatcher) LoadPercent() uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return uint32(100 * (d.busy + d.holding + d.queue.Len()) / d.config.Slots)
}

// scopes calls visit for each owned scope. visit may remove the scope.
func (d *Dispatcher) scopes(visit func(*scopeState)) {
	for i := len(d.owned) - 1; i >= 0; i-- {
		visit(d.owned[i])
	}
}

// wakeControl asks for a control cycle. It never blocks.
func (d *Dispatcher) wakeControl() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// monotonic returns the queue's time.
func (d *Dispatcher) monotonic(t time.Time) time.Duration { return t.Sub(d.start) }
