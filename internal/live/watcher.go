package live

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/dev"
	"github.com/sapphireplank/sapphireplank/internal/node"
)

const (
	// watchInterval is the interval at which each control loop is asked for its state.
	watchInterval = 50 * time.Millisecond
	// maxLoopDelay is the delay of a control loop above which a run is not valid: leases of 600 ms are renewed every
	// 150 ms, so that a delay of several times this value lets them lapse without a fault of the system.
	maxLoopDelay = 100 * time.Millisecond
)

// watcher asks the control loops of all gateways for their counters, and measures how long they let it wait.
type watcher struct {
	deployment *dev.Deployment
	done       chan struct{}
	stopped    sync.WaitGroup

	// mu protects the fields below.
	mu      sync.Mutex
	nodes   map[*node.Node]*watched
	ignored map[string]bool
	// worst is the longest delay of a loop, delayed the host of that loop.
	worst   time.Duration
	delayed string
	over    int
}

// watched is what the watcher knows of one gateway.
type watched struct {
	host           string
	firstAt        time.Time
	lastAt         time.Time
	first, last    cell.Counters
	holder, asking bool
}

func watch(d *dev.Deployment) *watcher {
	w := &watcher{deployment: d, done: make(chan struct{}), nodes: make(map[*node.Node]*watched), ignored: make(map[string]bool)}
	w.stopped.Add(1)
	go w.run()
	return w
}

func (w *watcher) run() {
	defer w.stopped.Done()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		for _, n := range w.deployment.Nodes() {
			w.ask(n)
		}
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
	}
}

// stop ends the watcher.
func (w *watcher) stop() {
	close(w.done)
	w.stopped.Wait()
}

// ignore leaves out the delays of the gateway of a host, which a scenario pauses or stops.
func (w *watcher) ignore(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ignored[host] = true
}

// ask asks a gateway for its state unless it has not answered the last question.
func (w *watcher) ask(n *node.Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state, ok := w.nodes[n]
	if !ok {
		state = &watched{host: n.Host()}
		w.nodes[n] = state
	}
	if state.asking {
		return
	}
	state.asking = true
	w.stopped.Add(1)
	go func() {
		defer w.stopped.Done()
		asked := time.Now()
		status, ok := n.Status()
		w.answered(state, ok, status.Counters, status.Role == cell.RoleHolder, time.Since(asked))
	}()
}

func (w *watcher) answered(state *watched, ok bool, counters cell.Counters, holder bool, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state.asking = false
	if !ok {
		return
	}
	if state.firstAt.IsZero() {
		state.firstAt, state.first = time.Now(), counters
	}
	state.lastAt, state.last = time.Now(), counters
	state.holder = state.holder || holder
	if w.ignored[state.host] {
		return
	}
	if delay > maxLoopDelay {
		w.over++
	}
	if delay > w.worst {
		w.worst, w.delayed = delay, state.host
	}
}
