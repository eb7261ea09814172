package dev

import (
	"fmt"
	"sync"
	"time"
)

// inForceBound is the time within which an accepted configuration must be in force on every gateway.
const inForceBound = 7 * time.Second

// revisionWatch follows the revisions that the gateways have in force.
type revisionWatch struct {
	// mu protects the fields below.
	mu       sync.Mutex
	accepted uint64
	at       time.Time
	last     map[string]uint64
	promise  Promise
}

func newRevisionWatch() *revisionWatch {
	return &revisionWatch{
		last:    make(map[string]uint64),
		promise: Promise{Name: "an accepted configuration is in force within 7 s and never reverts"},
	}
}

// accept notes an accepted revision.
func (w *revisionWatch) accept(revision uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted, w.at = revision, now
}

// observe checks the revision of one gateway. One that was restarted may have none yet, but never a smaller one.
func (w *revisionWatch) observe(host string, revision uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promise.Checked++
	if revision < w.last[host] {
		w.promise.violate(fmt.Sprintf("%s went from revision %d to %d", host, w.last[host], revision))
	}
	w.last[host] = max(w.last[host], revision)
	if revision < w.accepted && now.Sub(w.at) > inForceBound {
		w.promise.violate(fmt.Sprintf("%s has revision %d %s after %d was accepted", host, revision, now.Sub(w.at), w.accepted))
	}
}

// result returns the promise so far.
func (w *revisionWatch) result() Promise {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.promise
}

// observeRevisions checks all running gateways.
func (d *Deployment) observeRevisions() {
	now := time.Now()
	for _, n := range d.all() {
		if view := n.Gateway().View(); view != nil {
			d.revisions.observe(n.Host(), view.Config.Revision, now)
		}
	}
}
