package live

import (
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

// firstCell returns the first cell of the configuration, to which scenarios apply their faults.
func (r *run) firstCell() string { return r.deployment.Config.Cells()[0] }

// keyedService returns the first sharded service, or nil.
func (r *run) keyedService() *config.Service {
	for i := range r.deployment.Config.Services {
		if s := &r.deployment.Config.Services[i]; s.Keyed {
			return s
		}
	}
	return nil
}

// snapshot returns the current routing snapshot of a gateway, or an empty one if the gateway is stopped or has none
// yet.
func (r *run) snapshot(host string) *cell.Snapshot {
	if node, ok := r.deployment.Node(host); ok {
		if table := node.Gateway().RoutingTable(); table != nil {
			return table.Snapshot
		}
	}
	return new(cell.Snapshot)
}

// homeCount returns the number of backend servers whose home is the gateway of a host.
func (r *run) homeCount(host string) int {
	count := 0
	for _, server := range r.snapshot(host).Servers {
		if server.Home == host {
			count++
		}
	}
	return count
}

// holderWithHomes returns the host of the first holder, in cell order, that is also the home of a backend server, or ""
// if there is none.
func (r *run) holderWithHomes() string {
	for _, name := range r.deployment.Config.Cells() {
		if host := r.deployment.HolderOf(name); host != "" && r.homeCount(host) > 0 {
			return host
		}
	}
	return ""
}
