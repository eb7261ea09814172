package confsync

// Topology is the view that a gateway has of the cells and of its role among them. The caller computes it from the
// document that the gateway holds and from the state of its cell.
type Topology struct {
	// Cell is the name of the gateway's cell, or "" if the configuration does not contain the gateway.
	Cell string
	// Holder is the host of the cell's holder, or "" if no holder is known.
	Holder string
	// Watcher is true on the holder and the successor of the first cell of each zone, by name. These gateways watch
	// the store.
	Watcher bool
	// Cells contains all cells of the configuration with their hosts, in a stable order. Gateways in the same
	// process may share the slice.
	Cells []Cell
}

// Cell is a cell with its hosts.
type Cell struct {
	Name  string
	Hosts []string
}

// neighbours returns the peers of self: the other gateways of its cell or, in a cell of one host, the hosts of the
// first other cell. One of them must hold a document before self puts it in force, and a starting gateway queries all
// of them.
func (t *Topology) neighbours(self string) []string {
	for _, cell := range t.Cells {
		if cell.Name == t.Cell && len(cell.Hosts) > 1 {
			return excludeHost(cell.Hosts, self)
		}
	}
	for _, cell := range t.Cells {
		if cell.Name != t.Cell {
			return excludeHost(cell.Hosts, self)
		}
	}
	return nil
}

func excludeHost(hosts []string, self string) []string {
	others := make([]string, 0, len(hosts))
	for _, host := range hosts {
		if host != self {
			others = append(others, host)
		}
	}
	return others
}
