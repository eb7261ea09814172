package soak

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// copyInterval is the interval at which the store is copied. The last maxCopies are kept.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 18
	// awayShare divides the duration of other faults: the store is away for a shorter time before it is restored.
	awayShare = 3
)

// copyStore keeps the last copies of the store until the context is done.
func (d *deployment) copyStore(ctx context.Context) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.mu.Lock()
			d.copies = append(d.copies, d.store.Copy())
			d.copies = d.copies[max(0, len(d.copies)-maxCopies):]
			d.mu.Unlock()
		}
	}
}

// restoreStore makes the store unreachable for a time, after which it comes back from an earlier copy. What the operator
// and the servers wrote since is written again. age is the number of copies that are newer.
func (d *deployment) restoreStore(away time.Duration, age int) error {
	for _, g := range d.gateways {
		g.storeProxy.Disconnect()
	}
	time.Sleep(away)
	d.store.Restore(d.copyOfAge(age), platform.ConfigKey, platform.ServersPrefix)
	for _, g := range d.gateways {
		g.storeProxy.ClearFaults()
	}
	return nil
}

// copyOfAge returns the copy before the given number of later ones, or the oldest one that is kept.
func (d *deployment) copyOfAge(age int) kv.Copy {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.copies) == 0 {
		return d.store.Copy()
	}
	return d.copies[max(0, len(d.copies)-1-age)]
}
