package live

import (
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

// firstCell returns the cell to which scenarios do something.
func (r *run) firstCell() string { return r.deployment.Config.Cells()[0] }

// keyedService returns the first service that is divided by key.
func (r *run) keyedService() *config.Service {
	for i := range r.deployment.Config.Services {
		if s := &r.deployment.Config.Services[i]; s.Keyed {
			return s
		}
	}
	return nil
}

// snapshot returns the view of a gateway, or an empty one.
func (r *run) snapshot(host string) *cell.Snapshot {
	if n, ok := r.deployment.Node(host); ok {
		if view := n.Gateway().View(); view != nil {
			return view.Snapshot
		}
	}
	return new(cell.Snapshot)
}

// homesOf counts the backend servers whose home is the gateway of a host.
func (r *run) homesOf(host string) int {
	n := 0
	for _, server := range r.snapshot(host).Servers {
		if server.Home == host {
			n++
		}
	}
	return n
}

// holderWithHomes returns the holder of the first cell whose holder is also a home, or "".
func (r *run) holderWithHomes() string {
	for _, name := range r.deployment.Config.Cells() {
		if host := r.deployment.HolderOf(name); host != "" && r.homesOf(host) > 0 {
			return host
		}
	}
	return ""
}
