package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStopIncomplete is returned by Shutdown if the context is done before the planned stop is complete.
var ErrStopIncomplete = errors.New("planned stop timed out before all backend servers were handed over and all requests had ended; allow more time")

// Kill stops all components immediately, without handover, as in a crash.
func (n *Node) Kill() {
	n.cancel()
	n.closeListeners()
	_ = n.clientServer.Close()
	_ = n.adminServer.Close()
	n.pool.Close()
	n.peerServer.Close()
	<-n.loop.Done()
	n.dispatchers.closeAll()
}

// Shutdown performs a planned stop. The readiness check fails first. The gateway then hands over its backend servers and
// its role in the cell, lets in-flight requests complete, and closes the listeners.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info("Draining.")
	n.gateway.Drain()
	n.loop.Leave()
	err := n.waitForHandover(ctx)
	sleep(ctx, readinessDelay)
	if stopErr := n.clientServer.Shutdown(ctx); stopErr != nil {
		err = errors.CombineErrors(err, errors.Mark(stopErr, ErrStopIncomplete))
	}
	n.waitForForwardedRequests(ctx)
	n.Kill()
	n.log.Info("Stopped.")
	return err
}

func (n *Node) waitForHandover(ctx context.Context) error {
	for {
		status, ok := n.loop.Status()
		if !ok || status.Left {
			return nil
		}
		if !sleep(ctx, drainPollInterval) {
			return errors.Wrap(ErrStopIncomplete, "backend servers or the role in the cell are not handed over")
		}
	}
}

// waitForForwardedRequests waits until the requests that other gateways forwarded have ended.
func (n *Node) waitForForwardedRequests(ctx context.Context) {
	for n.gateway.InFlight() > 0 {
		if !sleep(ctx, drainPollInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
