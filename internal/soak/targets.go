package soak

import "sync"

// targets are the parts of the deployment that have a fault. It is safe for concurrent use.
type targets struct {
	// mu protects busy.
	mu   sync.Mutex
	busy map[string]bool
}

func newTargets() *targets { return &targets{busy: make(map[string]bool)} }

// take reports whether a part has no fault, and marks it if so.
func (t *targets) take(part string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[part] {
		return false
	}
	t.busy[part] = true
	return true
}

func (t *targets) leave(part string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, part)
}
