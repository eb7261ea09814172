package live

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/dev"
	"github.com/sapphireplank/sapphireplank/internal/node"
)

const (
	// pollInterval is the interval at which each control loop is polled for its status.
	pollInterval = 50 * time.Millisecond
	// maxLoopDelay is the reply time of a control loop above which a run is not valid. Leases of 600 ms are renewed
	// every 150 ms, so a delay of several times this value lets them expire without a fault of the system.
	maxLoopDelay = 100 * time.Millisecond
)

// loopMonitor polls the control loops of all gateways for their counters and measures how long they take to reply.
type loopMonitor struct {
	deployment *dev.Deployment
	done       chan struct{}
	tasks      sync.WaitGroup

	// mu protects the fields below.
	mu       sync.Mutex
	gateways map[*node.Node]*gatewayState
	// ignored holds the hosts whose reply times do not count.
	ignored map[string]bool
	// maxDelay is the longest reply time of a control loop, and slowestHost is the host of that loop. exceeded counts
	// the replies that took longer than maxLoopDelay.
	maxDelay    time.Duration
	slowestHost string
	exceeded    int
}

// gatewayState holds the counters of one gateway at its first and last reply.
type gatewayState struct {
	host        string
	firstAt     time.Time
	lastAt      time.Time
	first, last cell.Counters
	// holder is true if the gateway was a holder at any reply. pending is true while a request is unanswered.
	holder, pending bool
}

func startMonitor(d *dev.Deployment) *loopMonitor {
	m := &loopMonitor{deployment: d, done: make(chan struct{}), gateways: make(map[*node.Node]*gatewayState), ignored: make(map[string]bool)}
	m.tasks.Add(1)
	go m.run()
	return m
}

func (m *loopMonitor) run() {
	defer m.tasks.Done()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, n := range m.deployment.Nodes() {
			m.poll(n)
		}
		select {
		case <-m.done:
			return
		case <-ticker.C:
		}
	}
}

// stop ends the polling and waits for unanswered requests.
func (m *loopMonitor) stop() {
	close(m.done)
	m.tasks.Wait()
}

// ignore excludes the reply times of the gateway of a host that a scenario pauses or stops.
func (m *loopMonitor) ignore(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ignored[host] = true
}

// poll requests the status of a gateway unless an earlier request is still unanswered.
func (m *loopMonitor) poll(n *node.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.gateways[n]
	if !ok {
		state = &gatewayState{host: n.Host()}
		m.gateways[n] = state
	}
	if state.pending {
		return
	}
	state.pending = true
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		sentAt := time.Now()
		status, ok := n.Status()
		m.record(state, ok, status.Counters, status.Role == cell.RoleHolder, time.Since(sentAt))
	}()
}

func (m *loopMonitor) record(state *gatewayState, ok bool, counters cell.Counters, holder bool, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state.pending = false
	if !ok {
		return
	}
	if state.firstAt.IsZero() {
		state.firstAt, state.first = time.Now(), counters
	}
	state.lastAt, state.last = time.Now(), counters
	state.holder = state.holder || holder
	if m.ignored[state.host] {
		return
	}
	if delay > maxLoopDelay {
		m.exceeded++
	}
	if delay > m.maxDelay {
		m.maxDelay, m.slowestHost = delay, state.host
	}
}
