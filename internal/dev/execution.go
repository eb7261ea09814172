package dev

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// Execution is one request as a backend server ran it.
type Execution struct {
	Server   string
	Service  string
	Key      string
	Identity string
	Token    fence.Token
	Start    time.Time
	End      time.Time
}

// ExecutionLog collects the executions of all backend servers of a deployment.
type ExecutionLog struct {
	// mu protects the fields below.
	mu   sync.Mutex
	list []Execution
}

// Add appends one execution.
func (l *ExecutionLog) Add(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, e)
}

// All returns a copy of the executions in the order in which they were added.
func (l *ExecutionLog) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.list...)
}
