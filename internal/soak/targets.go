package soak

import "sync"

// targetLocks ensures that each component of the deployment has at most one fault at a time. It is safe for concurrent
// use.
type targetLocks struct {
	// mu protects locked.
	mu     sync.Mutex
	locked map[string]bool
}

func newTargetLocks() *targetLocks { return &targetLocks{locked: make(map[string]bool)} }

// tryLock locks a target. It returns false if the target already has a fault.
func (t *targetLocks) tryLock(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.locked[target] {
		return false
	}
	t.locked[target] = true
	return true
}

func (t *targetLocks) unlock(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.locked, target)
}
