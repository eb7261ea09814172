package gateway

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// holdTimer is the time that one call has waited for an owner or home.
type holdTimer struct {
	waited time.Duration
}

// hold waits before the next attempt. It returns false if the call must not wait any longer.
func (g *Gateway) hold(ctx context.Context, h *holdTimer, p *outcome.Problem) bool {
	if h.waited >= maxHold {
		return false
	}
	if g.held.Add(1) > maxHeld {
		g.held.Add(-1)
		return false
	}
	defer g.held.Add(-1)
	timer := time.NewTimer(holdInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		h.waited += holdInterval
		return true
	case <-ctx.Done():
		return false
	}
}
