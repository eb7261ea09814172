package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
)

// patience breaks off a send of an idempotent request that takes much longer than expected, so that it can be sent
// again: its answer may be lost. It does so only if the retry is within the budget, and never while the gateway stops.
type patience struct {
	// mu protects the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startPatience starts the time after which the current send is broken off.
func (f *forward) startPatience(ticket *dispatch.Reservation, breakOff context.CancelFunc) *patience {
	p := &patience{}
	limit := max(patienceFactor*ticket.Expected, patienceTargets*f.route.Target)
	if !f.route.Idempotent || f.sends+1 >= f.route.MaxAttempts || f.left() < limit+ticket.Expected {
		return p
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(limit, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.stopped || f.handler.ShuttingDown() || !f.takeRetry() {
			return
		}
		f.granted = true
		breakOff()
	})
	return p
}

// stop ends the time. Nothing is broken off afterwards.
func (p *patience) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.timer != nil {
		p.timer.Stop()
	}
}
