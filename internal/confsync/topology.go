package confsync

// Topology is the place of a gateway among the others. The caller computes it from the greatest document that the
// gateway holds and from the state of its cell.
type Topology struct {
	// Cell is the name of the gateway's cell, or "" if the configuration does not name the gateway.
	Cell string
	// Holder is the host of the cell's holder, or "" if none is known.
	Holder string
	// Watcher is true on the holder and the successor of the zone's first cell by name.
	Watcher bool
	// Cells are all cells of the configuration with their hosts, in the same order on each call. Gateways of one
	// process may share it.
	Cells []Cell
}

// Cell is one cell with its hosts.
type Cell struct {
	Name  string
	Hosts []string
}

// neighbours returns the gateways that must hold a document before self puts it in force, and that a fresh gateway
// asks: the others of its cell or, for a cell of one host, the hosts of the first other cell.
func (t *Topology) neighbours(self string) []string {
	for _, cell := range t.Cells {
		if cell.Name == t.Cell && len(cell.Hosts) > 1 {
			return without(cell.Hosts, self)
		}
	}
	for _, cell := range t.Cells {
		if cell.Name != t.Cell {
			return without(cell.Hosts, self)
		}
	}
	return nil
}

func without(hosts []string, self string) []string {
	others := make([]string, 0, len(hosts))
	for _, host := range hosts {
		if host != self {
			others = append(others, host)
		}
	}
	return others
}
