package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/election"
)

const (
	// cutBeforeKill is the time between the cut of a server and the kill of the elected gateway. Grants that were sent meanwhile
	// are under way then.
	cutBeforeKill = 400 * time.Millisecond
	// minCut and maxCut bound the length of the cut.
	minCut = 3 * time.Second
	maxCut = 7500 * time.Millisecond
)

// elected returns the elected gateway, or a random one if there is none.
func (d *deployment) elected(random *rand.Rand) *gateway {
	other := d.gateways[random.IntN(len(d.gateways))]
	item, err := d.store.Get(context.Background(), election.Key)
	if err != nil {
		return other
	}
	leader, err := election.DecodeLeader(item.Value)
	if err != nil {
		return other
	}
	for _, g := range d.gateways {
		if g.name == leader.Host {
			return g
		}
	}
	return other
}

// holdBackOrders cuts a server off, so that its entry expires, and kills a gateway. What is under way from that gateway arrives when the
// cut ends.
func (d *deployment) holdBackOrders(g *gateway, b *backend, cut, restartDelay time.Duration) error {
	healed := time.Now().Add(cut)
	b.options.Silent.Store(true)
	b.proxy.Stall()
	time.Sleep(cutBeforeKill)
	b.proxy.KeepAfterReset(true)
	err := g.restart(syscall.SIGKILL, restartDelay)
	b.proxy.KeepAfterReset(false)
	time.Sleep(time.Until(healed))
	d.checker.SuspendOwnershipCheck(time.Now().Add(lateDeliveryWindow))
	b.proxy.ClearFaults()
	b.options.Silent.Store(false)
	return err
}
