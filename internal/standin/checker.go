package standin

import (
	"fmt"
	"sync"
	"time"
)

// maxOverlaps limits the number of overlaps that are recorded.
const maxOverlaps = 100

// ExecutionChecker is an [Observer] shared by several servers. It detects keys for which two servers execute requests at the
// same time, and requests or request identities that were executed more than once across all servers.
type ExecutionChecker struct {
	mu sync.Mutex // mu protects the fields below
	// running holds the executions in progress by key and request ID.
	running map[string]map[string]Execution
	// These count the executions of each request ID, request identity and subscriber.
	byRequest    map[string]int
	byIdentity   map[string]int
	bySubscriber map[string]int
	overlaps     []string
}

// NewExecutionChecker returns an instance without recorded executions.
func NewExecutionChecker() *ExecutionChecker {
	return &ExecutionChecker{
		running:      make(map[string]map[string]Execution),
		byRequest:    make(map[string]int),
		byIdentity:   make(map[string]int),
		bySubscriber: make(map[string]int),
	}
}

// Started implements [Observer].
func (c *ExecutionChecker) Started(e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byRequest[e.RequestID]++
	c.bySubscriber[e.Subscriber]++
	if e.Identity != "" {
		c.byIdentity[e.Subscriber+"\x00"+e.Identity]++
	}
	if e.Key == "" {
		return
	}
	c.recordOverlaps(e, time.Now())
	if c.running[e.Key] == nil {
		c.running[e.Key] = make(map[string]Execution)
	}
	c.running[e.Key][e.RequestID] = e
}

// Ended implements [Observer].
func (c *ExecutionChecker) Ended(e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[e.Key], e.RequestID)
	if len(c.running[e.Key]) == 0 {
		delete(c.running, e.Key)
	}
}

// recordOverlaps records the executions in progress for the same key on other servers. An execution past its
// deadline does not count: on a frozen server it has no effect any more.
func (c *ExecutionChecker) recordOverlaps(e Execution, now time.Time) {
	for _, other := range c.running[e.Key] {
		if other.Server == e.Server || !now.Before(other.Deadline) || len(c.overlaps) >= maxOverlaps {
			continue
		}
		c.overlaps = append(c.overlaps, fmt.Sprintf(
			"key %q: %s starts request %s with token %s while %s executes request %s with token %s",
			e.Key, e.Server, e.RequestID, e.Token, other.Server, other.RequestID, other.Token))
	}
}

// Overlaps describes the concurrent executions for one key on two servers, up to maxOverlaps.
func (c *ExecutionChecker) Overlaps() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.overlaps...)
}

// Duplicates describes the requests and request identities that were executed more than once.
func (c *ExecutionChecker) Duplicates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var repeated []string
	for id, n := range c.byRequest {
		if n > 1 {
			repeated = append(repeated, fmt.Sprintf("request %s: %d executions", id, n))
		}
	}
	for identity, n := range c.byIdentity {
		if n > 1 {
			repeated = append(repeated, fmt.Sprintf("identity %q: %d executions", identity, n))
		}
	}
	return repeated
}

// Executions returns the number of executions for a subscriber on all servers.
func (c *ExecutionChecker) Executions(subscriber string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bySubscriber[subscriber]
}
