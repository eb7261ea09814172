package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// thawSlack is how long after a stopped gateway goes on, or a silent connection does, what it had sent before may arrive.
const thawSlack = 300 * time.Millisecond

// Checker compares what callers were told with what backend servers did. It is safe for concurrent use.
type Checker struct {
	// mu protects the fields below.
	mu sync.Mutex
	// runs counts the executions of each request.
	runs map[string]int
	// once holds the requests that may run once at most.
	once map[string]bool
	// refused holds the requests of which a caller was told that they have not run and will not.
	refused map[string]bool
	holds   map[string][]standin.HeldRange
	// excusedUntil is when late orders count again.
	excusedUntil time.Time
	violations   []string
}

var _ standin.Observer = (*Checker)(nil)

// NewChecker returns an empty ledger.
func NewChecker() *Checker {
	return &Checker{
		runs: make(map[string]int), once: make(map[string]bool), refused: make(map[string]bool),
		holds: make(map[string][]standin.HeldRange),
	}
}

// violate notes a broken promise. The caller holds mu.
func (l *Checker) violate(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Violations returns the broken promises.
func (l *Checker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// RecordRequest notes a request before it is sent.
func (l *Checker) RecordRequest(request string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.once[request] = once
}

// RecordRefusal notes that a caller was told that a request has not run and will not.
func (l *Checker) RecordRefusal(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[request] = true
	if l.once[request] && l.runs[request] > 0 {
		l.violate("request %s was refused as not run, and has run", request)
	}
}

// CheckResponse checks a success.
func (l *Checker) CheckResponse(request, id, seal, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case id != request:
		l.violate("request %s got the answer of %s", request, id)
	case seal == "":
		l.violate("request %s got a success without a signature", request)
	case body != standin.Body(request):
		l.violate("request %s got the body %q", request, body)
	case l.runs[request] == 0:
		l.violate("request %s got a success and has not run", request)
	}
}

// SuspendOwnershipCheck lets orders that arrive late pass for a while: their sender was stopped, or their way was silent.
func (l *Checker) SuspendOwnershipCheck(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.excusedUntil) {
		l.excusedUntil = until
	}
}

// ExecutionStarted implements standin.Observer.
func (l *Checker) ExecutionStarted(run standin.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run.Request]++
	once, asked := l.once[run.Request]
	switch {
	case !asked:
		l.violate("server %s runs request %q, which nobody sent", run.Server, run.Request)
	case once && l.runs[run.Request] > 1:
		l.violate("server %s runs request %s for the second time", run.Server, run.Request)
	case once && l.refused[run.Request]:
		l.violate("server %s runs request %s, which was refused as not run", run.Server, run.Request)
	}
	if run.HasKey {
		l.checkOwner(run)
	}
}

// checkOwner checks that no other server holds the key of an execution. The caller holds mu.
func (l *Checker) checkOwner(run standin.Execution) {
	now := time.Now()
	if now.Before(l.excusedUntil) {
		return
	}
	for server, holds := range l.holds {
		for _, hold := range holds {
			if server != run.Server && hold.Contains(run.Key) && now.Before(hold.Until) {
				l.violate("servers %s and %s hold key %d at the same time", run.Server, server, run.Key)
			}
		}
	}
}

// HeldRangesChanged implements standin.Observer.
func (l *Checker) HeldRangesChanged(server string, holds []standin.HeldRange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds[server] = append([]standin.HeldRange(nil), holds...)
}
