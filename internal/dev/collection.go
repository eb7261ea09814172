package dev

import "sync"

// Collection is an append-only list that is safe for concurrent use.
type Collection[T any] struct {
	// mu protects the fields below.
	mu   sync.Mutex
	list []T
}

// Add appends one entry.
func (c *Collection[T]) Add(entry T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, entry)
}

// All returns a copy of the entries in the order in which they were added.
func (c *Collection[T]) All() []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]T(nil), c.list...)
}

// RecordLog collects the records of all clients of a deployment.
type RecordLog = Collection[Record]

// ExecutionLog collects the executions of all backend servers of a deployment.
type ExecutionLog = Collection[Execution]
