package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStopIncomplete is returned by Shutdown if the context ended first.
var ErrStopIncomplete = errors.New("the gateway still had homes or requests when the time for its stop was over; allow more time")

// Kill ends the process's parts at once, as a crash does.
func (n *Node) Kill() {
	n.cancel()
	n.closeListeners()
	_ = n.callers.Close()
	_ = n.admin.Close()
	n.pool.Close()
	n.peers.Close()
	<-n.loop.Done()
	n.homes.closeAll()
}

// Shutdown is the planned stop: readiness fails first, homes and authority are handed over, requests in
// progress end by themselves, and then the listeners close.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info("Draining.")
	n.gateway.Drain()
	n.loop.Leave()
	err := n.waitLeft(ctx)
	sleep(ctx, drainNotice)
	if stopErr := n.callers.Shutdown(ctx); stopErr != nil {
		err = errors.CombineErrors(err, errors.Mark(stopErr, ErrStopIncomplete))
	}
	n.waitIdle(ctx)
	n.Kill()
	n.log.Info("Stopped.")
	return err
}

func (n *Node) waitLeft(ctx context.Context) error {
	for {
		status, ok := n.loop.Status()
		if !ok || status.Left {
			return nil
		}
		if !sleep(ctx, leftPoll) {
			return errors.Wrap(ErrStopIncomplete, "homes are not handed over")
		}
	}
}

// waitIdle waits for the requests of other gateways.
func (n *Node) waitIdle(ctx context.Context) {
	for n.gateway.InFlight() > 0 {
		if !sleep(ctx, leftPoll) {
			return
		}
	}
}

// sleep waits for d and returns false if ctx ended first.
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
