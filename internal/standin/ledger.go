package standin

import (
	"fmt"
	"sync"
	"time"
)

// maxOverlaps bounds the overlaps that a Ledger describes.
const maxOverlaps = 100

// ExecutionChecker is an Observer of several servers. It finds keys that two servers execute at the same time, and
// requests or request identities that were executed more than once on any of them.
type ExecutionChecker struct {
	mu sync.Mutex // mu protects the fields below
	// running holds the executions in progress of each key by request id.
	running    map[string]map[string]Execution
	requests   map[string]int
	identities map[string]int
	// subscribers counts executions.
	subscribers map[string]int
	overlaps    []string
}

// NewExecutionChecker returns an empty ledger.
func NewExecutionChecker() *ExecutionChecker {
	return &ExecutionChecker{
		running:     make(map[string]map[string]Execution),
		requests:    make(map[string]int),
		identities:  make(map[string]int),
		subscribers: make(map[string]int),
	}
}

// Started records the start of an execution.
func (l *ExecutionChecker) Started(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[e.RequestID]++
	l.subscribers[e.Subscriber]++
	if e.Identity != "" {
		l.identities[e.Subscriber+"\x00"+e.Identity]++
	}
	if e.Key == "" {
		return
	}
	l.findOverlap(e, time.Now())
	if l.running[e.Key] == nil {
		l.running[e.Key] = make(map[string]Execution)
	}
	l.running[e.Key][e.RequestID] = e
}

// Ended records the end of an execution.
func (l *ExecutionChecker) Ended(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[e.Key], e.RequestID)
	if len(l.running[e.Key]) == 0 {
		delete(l.running, e.Key)
	}
}

// findOverlap looks for an execution of the key on another server. One on a frozen server has no effect after
// its deadline.
func (l *ExecutionChecker) findOverlap(e Execution, now time.Time) {
	for _, other := range l.running[e.Key] {
		if other.Server == e.Server || !now.Before(other.Deadline) || len(l.overlaps) >= maxOverlaps {
			continue
		}
		l.overlaps = append(l.overlaps, fmt.Sprintf("key %q: %s starts %s under %s while %s executes %s under %s",
			e.Key, e.Server, e.RequestID, e.Token, other.Server, other.RequestID, other.Token))
	}
}

// Overlaps describes the executions of one key on two servers at the same time.
func (l *ExecutionChecker) Overlaps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.overlaps...)
}

// Duplicates returns the requests and the request identities that were executed more than once.
func (l *ExecutionChecker) Duplicates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var repeated []string
	for id, n := range l.requests {
		if n > 1 {
			repeated = append(repeated, fmt.Sprintf("request %s: %d executions", id, n))
		}
	}
	for identity, n := range l.identities {
		if n > 1 {
			repeated = append(repeated, fmt.Sprintf("identity %q: %d executions", identity, n))
		}
	}
	return repeated
}

// Executions returns the number of executions of a subscriber on all servers.
func (l *ExecutionChecker) Executions(subscriber string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.subscribers[subscriber]
}
