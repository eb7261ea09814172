package confsim

import (
	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Host is a host with a simulated gateway.
type Host struct {
	Name string
	Node *confsync.Node
	// Alive is false between Crash and Restart.
	Alive bool
	// Traffic counts the messages and bytes that the gateway sent and received.
	Traffic Traffic

	index       int32
	cell        *cell
	incarnation uint32
	// group is the side of a network partition that the host is on. Hosts in different groups cannot communicate, and
	// only group 0 reaches the store.
	group int
	// watchRequest is the watch that is open at the store while watchPending is true.
	watchRequest confsync.StoreRequest
	watchPending bool
}

// cell is a simulated cell. All of its hosts know its holder and successor without delay.
type cell struct {
	name   string
	region int
	zone   int
	// firstInZone is true for the first cell of its zone by name.
	firstInZone bool
	hosts       []*Host
	holder      *Host
	successor   *Host
}

// elect chooses the holder and the successor among the hosts that are alive. It keeps a holder that is alive.
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
	topology.Watcher = h.cell.firstInZone && (h == h.cell.holder || h == h.cell.successor)
	return topology
}
