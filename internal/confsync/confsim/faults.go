package confsim

import (
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Crash ends the gateway of host. Its cell has another holder after TakeoverTime.
func (n *Network) Crash(host *Host) {
	host.Alive = false
	host.incarnation++
	host.waiting = false
	n.After(TakeoverTime, func() { n.elect(host.cell) })
}

// Restart runs a fresh gateway on host.
func (n *Network) Restart(host *Host) {
	if host.Alive {
		return
	}
	host.Alive = true
	n.start(host)
	n.elect(host.cell)
}

func (n *Network) elect(c *cell) {
	c.elect()
	for _, host := range c.hosts {
		if host.Alive && host.Node.Held().Revision != 0 {
			n.apply(host, host.Node.Configure(n.Now(), host.topology(n.public)))
		}
	}
}

// SetGroup puts host on a side of a network partition. Group 0 is the side of the store.
func (n *Network) SetGroup(host *Host, group int) {
	host.group = group
	n.fireWatch(host)
}

// ZoneHosts returns the hosts of the zone of host.
func (n *Network) ZoneHosts(host *Host) []*Host {
	var hosts []*Host
	for _, c := range n.cells {
		if c.zone == host.cell.zone {
			hosts = append(hosts, c.hosts...)
		}
	}
	return hosts
}

// SetStoreDown switches the store off and on.
func (n *Network) SetStoreDown(down bool) {
	n.storeDown = down
	n.fireWatches()
}

// Restore puts the store back to the value before the last count writes.
func (n *Network) Restore(count int) {
	entry, err := n.options.Store.Peek(Key, count)
	if err == nil {
		_ = n.options.Store.Restore(Key, entry.Version)
	}
}

// Holder returns the holder of the cell of host, or nil.
func (n *Network) Holder(host *Host) *Host { return host.cell.holder }

// InForce returns the version in force on host.
func (h *Host) InForce() confsync.Version { return h.Node.InForce().Version }
