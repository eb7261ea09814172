package gateway

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// retryWait accumulates the time that one request has waited between attempts.
type retryWait struct {
	waited time.Duration
}

// waitBeforeRetry waits until the next attempt. It returns false if the request has waited for too long, too many
// requests are waiting, or the context is done.
func (g *Gateway) waitBeforeRetry(ctx context.Context, wait *retryWait, p *outcome.Problem) bool {
	if wait.waited >= maxRetryWait {
		return false
	}
	if g.waitingRetries.Add(1) > maxWaitingRetries {
		g.waitingRetries.Add(-1)
		return false
	}
	defer g.waitingRetries.Add(-1)
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		wait.waited += retryInterval
		return true
	case <-ctx.Done():
		return false
	}
}
