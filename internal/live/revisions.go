package live

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// reached holds when each gateway put revisions in force.
type reached struct {
	// byHost holds the revisions of each host in the order of time.
	byHost map[string][]revisionAt
}

type revisionAt struct {
	revision uint64
	at       time.Time
}

// everywhere returns when the last gateway had the revision or a later one in force, or false if one never had.
func (r *reached) everywhere(revision uint64) (time.Time, bool) {
	var last time.Time
	for _, list := range r.byHost {
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

func firstAt(list []revisionAt, revision uint64) (time.Time, bool) {
	for _, entry := range list {
		if entry.revision >= revision {
			return entry.at, true
		}
	}
	return time.Time{}, false
}

// follower reads the revisions in force on all gateways.
type follower struct {
	deployment *dev.Deployment
	reached    *reached
	wanted     chan uint64
	done       chan struct{}
}

func followRevisions(d *dev.Deployment) *follower {
	f := &follower{
		deployment: d,
		reached:    &reached{byHost: make(map[string][]revisionAt)},
		wanted:     make(chan uint64, 1),
		done:       make(chan struct{}),
	}
	go f.run()
	return f
}

// stopAfter waits until the revision is in force everywhere, at most for limit, and ends the follower.
func (f *follower) stopAfter(revision uint64, limit time.Duration) *reached {
	select {
	case f.wanted <- revision:
	case <-f.done:
	}
	select {
	case <-f.done:
	case <-time.After(limit):
		f.wanted <- 0
		<-f.done
	}
	return f.reached
}

func (f *follower) run() {
	defer close(f.done)
	ticker := time.NewTicker(inForcePoll)
	defer ticker.Stop()
	wanted := ^uint64(0)
	for {
		select {
		case wanted = <-f.wanted:
		case <-ticker.C:
		}
		if f.read() >= wanted {
			return
		}
	}
}

// read notes the revisions in force and returns the smallest.
func (f *follower) read() uint64 {
	smallest := ^uint64(0)
	for _, n := range f.deployment.Nodes() {
		var revision uint64
		if view := n.Gateway().View(); view != nil {
			revision = view.Config.Revision
		}
		list := f.reached.byHost[n.Host()]
		if len(list) == 0 || list[len(list)-1].revision != revision {
			f.reached.byHost[n.Host()] = append(list, revisionAt{revision: revision, at: time.Now()})
		}
		smallest = min(smallest, revision)
	}
	return smallest
}
