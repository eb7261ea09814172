package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

const (
	// resignCallTimeout bounds one attempt to end the election lease.
	resignCallTimeout = 500 * time.Millisecond
	// resignRetryDelay is the delay between two attempts. Meanwhile grants are renewed.
	resignRetryDelay = 300 * time.Millisecond
)

// Resign ends the election lease, so that another gateway can be elected at once, and then the duties of this gateway.
// While the store cannot be reached, no other gateway can be elected; this one goes on renewing grants and tries again
// until the context is done. Otherwise all keys would be without an owner until the store is back.
func (c *Controller) Resign(ctx context.Context) {
	for {
		lease := c.beginResigning()
		if lease == 0 {
			return
		}
		err := c.revokeLease(ctx, lease)
		resigned := err == nil || errors.Is(err, kv.ErrLeaseNotFound)
		c.enqueue(func() { c.endResigning(resigned) })
		if resigned {
			return
		}
		c.Log.WithError(err).Info("failed to end the election lease; renewing grants until it succeeds or the process ends")
		select {
		case <-ctx.Done():
			return
		case <-time.After(resignRetryDelay):
		}
	}
}

// beginResigning stops campaigns and, until endResigning, orders. It returns the lease to end, or 0 if this gateway is
// not the elected one.
func (c *Controller) beginResigning() kv.LeaseID {
	lease := make(chan kv.LeaseID, 1)
	c.enqueue(func() {
		c.stopping = true
		if !c.election.Acting() {
			c.stepDown()
			lease <- 0
			return
		}
		c.resigning = true
		lease <- c.election.Lease()
	})
	return <-lease
}

func (c *Controller) revokeLease(ctx context.Context, lease kv.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, resignCallTimeout)
	defer cancel()
	return c.Store.RevokeLease(ctx, lease)
}

func (c *Controller) endResigning(resigned bool) {
	c.resigning = false
	if resigned {
		c.stepDown()
	}
}

// stepDown ends the duties of the elected gateway.
func (c *Controller) stepDown() {
	wasActing := c.election.Acting()
	c.election.Resign()
	c.electionChanged(wasActing)
}
