package live

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// revisionHistory records when each gateway put revisions in force.
type revisionHistory struct {
	// byHost holds the revisions of each host in chronological order.
	byHost map[string][]revisionChange
}

type revisionChange struct {
	revision uint64
	at       time.Time
}

// inForceEverywhere returns the time at which the last gateway had the revision or a later one in force, or false if a
// gateway never did.
func (h *revisionHistory) inForceEverywhere(revision uint64) (time.Time, bool) {
	var last time.Time
	for _, list := range h.byHost {
		at, ok := firstAt(list, revision)
		if !ok {
			return time.Time{}, false
		}
		if at.After(last) {
			last = at
		}
	}
	return last, true
}

func firstAt(list []revisionChange, revision uint64) (time.Time, bool) {
	for _, entry := range list {
		if entry.revision >= revision {
			return entry.at, true
		}
	}
	return time.Time{}, false
}

// revisionWatcher polls the revision in force on each gateway.
type revisionWatcher struct {
	deployment *dev.Deployment
	history    *revisionHistory
	// target receives the revision at which the polling ends, or 0 to end it at the next poll.
	target chan uint64
	done   chan struct{}
}

func watchRevisions(d *dev.Deployment) *revisionWatcher {
	w := &revisionWatcher{
		deployment: d,
		history:    &revisionHistory{byHost: make(map[string][]revisionChange)},
		target:     make(chan uint64, 1),
		done:       make(chan struct{}),
	}
	go w.run()
	return w
}

// waitAndStop waits until the revision is in force on all gateways, for at most limit, stops the polling and returns
// the history.
func (w *revisionWatcher) waitAndStop(revision uint64, limit time.Duration) *revisionHistory {
	select {
	case w.target <- revision:
	case <-w.done:
	}
	select {
	case <-w.done:
	case <-time.After(limit):
		w.target <- 0
		<-w.done
	}
	return w.history
}

func (w *revisionWatcher) run() {
	defer close(w.done)
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	target := ^uint64(0)
	for {
		select {
		case target = <-w.target:
		case <-ticker.C:
		}
		if w.poll() >= target {
			return
		}
	}
}

// poll records the revision in force on each gateway and returns the smallest one.
func (w *revisionWatcher) poll() uint64 {
	smallest := ^uint64(0)
	for _, n := range w.deployment.Nodes() {
		var revision uint64
		if table := n.Gateway().RoutingTable(); table != nil {
			revision = table.Config.Revision
		}
		list := w.history.byHost[n.Host()]
		if len(list) == 0 || list[len(list)-1].revision != revision {
			w.history.byHost[n.Host()] = append(list, revisionChange{revision: revision, at: time.Now()})
		}
		smallest = min(smallest, revision)
	}
	return smallest
}
