package home

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fairqueue"
)

// Dispatcher executes requests on one backend server. Callers run its short critical sections on their own goroutines;
// a single goroutine makes the control calls and sends reports.
type Dispatcher struct {
	config  Config
	backend Backend
	grantor Grantor
	// timeOrigin is the origin of the monotonic time that the queue uses.
	timeOrigin time.Time
	// cycleRequested makes the control goroutine run a cycle before the next tick.
	cycleRequested chan struct{}
	stop           chan struct{}
	stopped        chan struct{}

	mu         sync.Mutex // mu protects the fields below
	queue      *fairqueue.Queue[*pendingRequest]
	slotsInUse int
	// heldCount is the number of requests that wait in held scopes.
	heldCount int
	arrivals  uint64
	// ownedScopes lists every owned scope, so that a cycle does not visit the partitions of other servers.
	ownedScopes []*scopeState
	// unkeyedScope is the scope of all requests of a service that is not sharded; otherwise nil.
	unkeyedScope  *scopeState
	partitions    []*scopeState
	hotKeys       map[string]*scopeState
	remoteHotKeys map[string]bool
	// removedScopes holds scopes that are no longer assigned but may still have a grant on the server.
	removedScopes []*scopeState
	// assignmentSeq is the number of the last applied assignment.
	assignmentSeq uint64
	health        healthState
	identities    *identityRecord
	sketch        *sketch
	// serviceTime is the moving average of the time for which a request occupies a slot.
	serviceTime time.Duration
	// grantedUntil is the expiry of the last acknowledged renewal.
	grantedUntil  time.Time
	grantSet      backend.GrantSet
	grantSetDirty bool
	// recordedHealth is the health that was recorded last.
	recordedHealth Health
	// running holds the requests in execution on the backend server.
	running map[*pendingRequest]struct{}
	// startScheduled is true while a timer waits for the queue's ReadyAt.
	startScheduled bool
	leaving        bool
	closed         bool
}

// New returns a running dispatcher. For a sharded service, it owns nothing until the first Apply.
func New(config Config, client Backend, grantor Grantor) *Dispatcher {
	config = config.withDefaults()
	now := time.Now()
	d := &Dispatcher{
		config:         config,
		backend:        client,
		grantor:        grantor,
		timeOrigin:     now,
		cycleRequested: make(chan struct{}, 1),
		stop:           make(chan struct{}),
		stopped:        make(chan struct{}),
		hotKeys:        make(map[string]*scopeState),
		running:        make(map[*pendingRequest]struct{}),
		health:         newHealthState(),
		recordedHealth: HealthUp,
		identities:     newIdentityRecord(config.MaxIdentities, now),
		sketch:         newSketch(hotKeyCounters),
	}
	d.queue = fairqueue.New[*pendingRequest](fairqueue.Limits{
		MaxWaitingPerSubscriber: config.QueuePerSubscriber,
		MaxWaiting:              config.QueueTotal,
		Slots:                   config.Slots,
		Allowance:               queueAllowance,
		DebtSpacing:             debtSpacing,
	})
	if config.Keyed {
		d.partitions = make([]*scopeState, config.Partitions)
	} else {
		d.unkeyedScope = newScopeState(backend.Scope{}, now)
		d.unkeyedScope.granted = true
		d.ownedScopes = append(d.ownedScopes, d.unkeyedScope)
	}
	go d.runControl()
	return d
}

// Open returns a running dispatcher that communicates with the backend server through client.
func Open(config Config, client *backend.Client) *Dispatcher {
	return New(config, client, backend.NewGrantClient(client))
}

// Close stops the control goroutine and refuses all waiting requests as not executed. Requests in execution continue.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.closed = true
	d.refuseAllWaiting(notHome())
	d.mu.Unlock()
	close(d.stop)
	<-d.stopped
}

// Wake makes the dispatcher re-evaluate conditions that it does not observe itself, such as a renewed home lease.
func (d *Dispatcher) Wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startWaiting(time.Now())
}

// LoadPercent returns the number of requests that are waiting or in execution, relative to the slots, in percent.
func (d *Dispatcher) LoadPercent() uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return uint32(100 * (d.slotsInUse + d.heldCount + d.queue.Len()) / d.config.Slots)
}

// forEachScope calls visit for each owned scope. visit may remove the scope.
func (d *Dispatcher) forEachScope(visit func(*scopeState)) {
	for i := len(d.ownedScopes) - 1; i >= 0; i-- {
		visit(d.ownedScopes[i])
	}
}

// requestCycle requests a control cycle before the next tick. It never blocks.
func (d *Dispatcher) requestCycle() {
	select {
	case d.cycleRequested <- struct{}{}:
	default:
	}
}

// monotonic converts t to the monotonic time of the queue.
func (d *Dispatcher) monotonic(t time.Time) time.Duration { return t.Sub(d.timeOrigin) }
