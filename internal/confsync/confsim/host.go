package confsim

import (
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Host is one simulated gateway.
type Host struct {
	Name string
	Node *confsync.Node
	// Alive is false between Crash and Restart.
	Alive bool
	// Traffic counts what the gateway sent and received.
	Traffic Traffic

	index       int32
	cell        *cell
	incarnation uint32
	// group is the side of a network partition; hosts of different groups cannot communicate, and only group 0
	// reaches the store.
	group int
	// watch is the request that waits at the store.
	watch   confsync.StoreRequest
	waiting bool
}

// cell is one simulated cell. Its holder and successor are known to all of its hosts.
type cell struct {
	name   string
	region int
	zone   int
	// first is true for the first cell of its zone by name.
	first     bool
	hosts     []*Host
	holder    *Host
	successor *Host
}

// elect chooses holder and successor among the hosts that are alive. It keeps the holder if it can.
func (c *cell) elect() {
	if c.holder != nil && !c.holder.Alive {
		c.holder = nil
	}
	if c.holder == nil {
		c.holder = c.firstAlive(nil)
	}
	c.successor = c.firstAlive(c.holder)
}

func (c *cell) firstAlive(except *Host) *Host {
	for _, host := range c.hosts {
		if host.Alive && host != except {
			return host
		}
	}
	return nil
}

func (h *Host) topology(cells []confsync.Cell) confsync.Topology {
	topology := confsync.Topology{Cell: h.cell.name, Cells: cells}
	if h.cell.holder != nil {
		topology.Holder = h.cell.holder.Name
	}
	topology.Watcher = h.cell.first && (h == h.cell.holder || h == h.cell.successor)
	return topology
}
