package dev

import (
	"fmt"
	"sync"
	"time"
)

// propagationLimit is the time within which an accepted configuration must be in force on every gateway.
const propagationLimit = 7 * time.Second

// revisionChecker checks the configuration revisions that the gateways have in force.
type revisionChecker struct {
	// mu protects the fields below.
	mu         sync.Mutex
	accepted   uint64
	acceptedAt time.Time
	lastSeen   map[string]uint64
	invariant  Invariant
}

func newRevisionChecker() *revisionChecker {
	return &revisionChecker{
		lastSeen:  make(map[string]uint64),
		invariant: Invariant{Name: "an accepted configuration is in force within 7 s and never reverts"},
	}
}

// accept records an accepted revision.
func (c *revisionChecker) accept(revision uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted, c.acceptedAt = revision, now
}

// observe checks the revision that a gateway has in force. It must never be smaller than an earlier one, also after a
// restart.
func (c *revisionChecker) observe(host string, revision uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invariant.Checked++
	if revision < c.lastSeen[host] {
		c.invariant.addViolation(fmt.Sprintf("%s went from revision %d to %d", host, c.lastSeen[host], revision))
	}
	c.lastSeen[host] = max(c.lastSeen[host], revision)
	if revision < c.accepted && now.Sub(c.acceptedAt) > propagationLimit {
		c.invariant.addViolation(fmt.Sprintf("%s has revision %d in force %s after revision %d was accepted",
			host, revision, now.Sub(c.acceptedAt), c.accepted))
	}
}

// result returns the result of the checks so far.
func (c *revisionChecker) result() Invariant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invariant
}

// observeRevisions checks the revisions of all running gateways. A gateway without a routing table, as after a
// restart, is skipped.
func (d *Deployment) observeRevisions() {
	now := time.Now()
	for _, n := range d.runningNodes() {
		if table := n.Gateway().RoutingTable(); table != nil {
			d.revisions.observe(n.Host(), table.Config.Revision, now)
		}
	}
}
