package confsim

import (
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Crash stops the gateway of host. If it was the holder of its cell, the cell has another one after TakeoverTime.
func (n *Network) Crash(host *Host) {
	host.Alive = false
	host.incarnation++
	host.watchPending = false
	n.After(TakeoverTime, func() { n.elect(host.cell) })
}

// Restart starts a gateway without state on host.
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
			n.apply(host, host.Node.SetTopology(n.Now(), host.topology(n.topologyCells)))
		}
	}
}

// SetPartitionGroup assigns host to a side of a network partition. Group 0 is the side that reaches the store.
func (n *Network) SetPartitionGroup(host *Host, group int) {
	host.group = group
	n.completeWatch(host)
}

// ZoneHosts returns all hosts in the availability zone of host.
func (n *Network) ZoneHosts(host *Host) []*Host {
	var hosts []*Host
	for _, c := range n.cells {
		if c.zone == host.cell.zone {
			hosts = append(hosts, c.hosts...)
		}
	}
	return hosts
}

// SetStoreDown makes the store unavailable or available.
func (n *Network) SetStoreDown(down bool) {
	n.storeDown = down
	n.completeWatches()
}

// Restore resets the store to the value before the last count writes.
func (n *Network) Restore(count int) {
	entry, err := n.options.Store.Peek(Key, count)
	if err == nil {
		_ = n.options.Store.Restore(Key, entry.Version)
	}
}

// Holder returns the holder of the cell of host, or nil if there is none.
func (n *Network) Holder(host *Host) *Host { return host.cell.holder }

// InForce returns the version in force on host.
func (h *Host) InForce() confsync.Version { return h.Node.InForce().Version }
